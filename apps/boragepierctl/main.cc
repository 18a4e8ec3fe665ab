#include <csignal>
#include <iostream>
#include <string>
#include <vector>

#include "apps/boragepierctl/ctl.h"

int
main(int aCount, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  const std::vector<std::string> arguments(aArguments + 1, aArguments + aCount);
  return static_cast<int>(boragepier::ctl::RunCtl(arguments, std::cout, std::cerr));
}
