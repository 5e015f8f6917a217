#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

auto main(int argc, char** argv) -> int {
    // Memory allocated while the leak detector is on and freed after it is off leaves dangling entries in its
    // table, which crash the check after a test. Disable it before the first test.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    MemoryLeakWarningPlugin::destroyGlobalDetector();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
