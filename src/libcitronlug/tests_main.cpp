#include <CppUTest/CommandLineTestRunner.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

auto main(int argc, char** argv) -> int {
    // Before the first test object exists: memory of the leak check must not be freed by the plain operator
    // delete.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
