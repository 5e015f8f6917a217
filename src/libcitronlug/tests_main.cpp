#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

auto main(int argc, char** argv) -> int {
    // Memory that was allocated under the leak check and freed after it was turned off leaves dangling
    // entries in its table, which crash the check after a test. So it starts empty and stays off.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    MemoryLeakWarningPlugin::destroyGlobalDetector();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
