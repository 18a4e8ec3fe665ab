// Mutation fuzzer: feeds mutated service files and settings files to the parsers. Prints the first
// input for which a parser violates an invariant, and stops. The same seed produces the same
// inputs.
//
//   parser_fuzz SEED ITERATIONS FILE...

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "boragepier/base/random.h"
#include "boragepier/config/service_keys.h"
#include "boragepier/config/settings.h"

namespace boragepier {

namespace {

constexpr std::array<std::string_view, 24> kIniFragments = {
  "[",
  "]",
  "=",
  ":",
  "\n",
  "\r\n",
  " ",
  "\t",
  ";",
  "#",
  "\"",
  "-",
  "0",
  "9",
  "1e9",
  "nan",
  "0.5",
  "\xff",
  "\xef\xbb\xbf",
  "rule-1 = ",
  "[service]\n",
  "[log]\n",
  "true",
  "18446744073709551616",
};

// A violated invariant, or an error of the fuzzer itself.
class InvariantViolated : public Error
{
public:
  using Error::Error;
};

void
Require(bool aCondition, const std::string& aInvariant)
{
  if (!aCondition) {
    throw InvariantViolated(aInvariant);
  }
}

std::size_t
RandomBelow(Random& aRandom, std::size_t aLimit)
{
  return aLimit == 0 ? 0 : aRandom(static_cast<std::uint64_t>(aLimit));
}

// Applies one random mutation to aText; aOther supplies fragments.
void
Mutate(std::string& aText, const std::string& aOther, Random& aRandom)
{
  const std::size_t position = RandomBelow(aRandom, aText.size() + 1);
  switch (aRandom(7U)) {
    case 0:
      aText.insert(position, kIniFragments[RandomBelow(aRandom, kIniFragments.size())]);
      break;
    case 1:
      aText.erase(position, RandomBelow(aRandom, 40));
      break;
    case 2:
      aText.insert(position, 1, static_cast<char>(aRandom(256U)));
      break;
    case 3:
      aText.insert(position,
                   aText.substr(RandomBelow(aRandom, aText.size() + 1), RandomBelow(aRandom, 80)));
      break;
    case 4:
      aText.insert(
        position, aOther.substr(RandomBelow(aRandom, aOther.size() + 1), RandomBelow(aRandom, 80)));
      break;
    case 5:
      aText.insert(position, RandomBelow(aRandom, 6000), 'x');
      break;
    default:
      if (position < aText.size()) {
        aText[position] = static_cast<char>(aText[position] ^ (1 << aRandom(8U)));
      }
  }
}

void
CheckError(const ConfigError& aError, std::string_view aText)
{
  const std::string_view message = aError.what();
  const auto lines = std::count(aText.begin(), aText.end(), '\n') + 1;
  Require(message.starts_with("fuzz"), "an error message starts with the file name");
  Require(message.size() < 4096, "an error message is shorter than 4096 bytes");
  Require(aError.Line() >= 0 && aError.Line() <= lines,
          "the line number of an error is within the text");
}

void
CheckServiceConfig(const ServiceConfig& aConfig)
{
  Require(!aConfig.name_.Empty(), "the service has a name");
  Require(aConfig.pathPrefix_.front() == '/' && aConfig.pathPrefix_.back() == '/',
          "the path prefix starts and ends with /");
  Require(aConfig.slots_ >= 1 && aConfig.slots_ <= 1024, "the number of slots is within its range");
  Require(aConfig.defaultDeadline_ > Duration::zero() &&
            aConfig.defaultDeadline_ <= aConfig.maxDeadline_,
          "the default deadline is positive and at most the maximum deadline");
  Require(aConfig.hedgeRatio_ >= 0 && aConfig.hedgeRatio_ <= aConfig.retryRatio_ &&
            aConfig.retryRatio_ <= 1,
          "0 <= hedge budget <= retry budget <= 1");
  Require(aConfig.claimRetention_ >= 2 * aConfig.maxDeadline_,
          "claims are kept for at least twice the maximum deadline");
  Require(aConfig.rules_.size() <= 64, "there are at most 64 rules");
}

void
CheckSettings(const Settings& aSettings)
{
  Require(!aSettings.id_.Empty() && !aSettings.zone_.Empty(), "the instance has an id and a zone");
  Require(aSettings.platformEndpoint_.port_ != 0, "the platform has a port");
  Require(aSettings.drainLimit_ >= aSettings.drainGrace_,
          "the drain limit is not below the grace time");
}

// Parses a text and checks the result or the error. Returns whether the text was accepted.
template<typename Parse, typename Check>
bool
ParseAndCheck(std::string_view aText, Parse aParse, Check aCheck)
{
  try {
    aCheck(aParse(aText, "fuzz"));
    return true;
  } catch (const ConfigError& error) {
    CheckError(error, aText);
  }
  return false;
}

void
RunFuzzer(std::uint64_t aSeed, int aIterations, const std::vector<std::string>& aTexts)
{
  Random random(aSeed);
  int accepted = 0;
  for (int iteration = 0; iteration < aIterations; ++iteration) {
    std::string text = aTexts[RandomBelow(random, aTexts.size())];
    const std::string& other = aTexts[RandomBelow(random, aTexts.size())];
    for (std::size_t mutations = 1 + RandomBelow(random, 4); mutations > 0; --mutations) {
      Mutate(text, other, random);
    }
    try {
      accepted += ParseAndCheck(text, ParseServiceFile, CheckServiceConfig) ? 1 : 0;
      accepted += ParseAndCheck(text, ParseSettings, CheckSettings) ? 1 : 0;
    } catch (const std::exception& error) {
      std::printf("seed %llu run %d: %s\n%s\n",
                  static_cast<unsigned long long>(aSeed),
                  iteration,
                  error.what(),
                  text.c_str());
      throw;
    }
  }
  std::printf("%d texts, %d accepted\n", aIterations, accepted);
  Require(accepted > 0,
          "some mutated texts are accepted, so that the checks of parsed values run too");
}

std::string
ReadText(const char* aPath)
{
  std::ifstream file(aPath);
  Require(file.is_open(), std::string(aPath) + " cannot be read");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

} // namespace

} // namespace boragepier

int
main(int aCount, char** aArguments)
{
  try {
    boragepier::Require(aCount > 3, "usage: parser_fuzz SEED ITERATIONS FILE...");
    std::vector<std::string> texts;
    for (int i = 3; i < aCount; ++i) {
      texts.push_back(boragepier::ReadText(aArguments[i]));
    }
    boragepier::RunFuzzer(std::stoull(aArguments[1]), std::stoi(aArguments[2]), texts);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "parser_fuzz: %s\n", error.what());
    return 1;
  }
  return 0;
}
