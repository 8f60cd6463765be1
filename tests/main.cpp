#include <CppUTest/CommandLineTestRunner.h>

int main(int argc, char** argv)
{
    // Libraries keep caches of their own; leaks are the sanitizer's to find.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
