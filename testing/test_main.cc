#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int
main(int aCount, char** aArguments)
{
  // The address sanitizer build detects leaks. CppUTest's detector would report the static caches
  // of linked libraries as leaks.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(aCount, aArguments);
}
