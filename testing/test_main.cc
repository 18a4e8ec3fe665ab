#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int
main(int aCount, char** aArguments)
{
  // Leaks are found by the address sanitizer build. CppUTest's own detector reports the static
  // caches of linked libraries as leaks.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(aCount, aArguments);
}
