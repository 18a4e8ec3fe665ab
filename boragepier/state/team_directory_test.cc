#include "boragepier/state/team_directory.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace boragepier {

TEST_GROUP(TeamDirectory)
{
  TeamDirectory directory_;
  std::vector<TeamTerms> teams_;

  void setup() override
  {
    AddTeam("a");
    AddTeam("b");
    directory_.SetKey(DigestOfKey("key-1"), TeamName("a"));
    directory_.SetKey(DigestOfKey("key-2"), TeamName("a"));
    directory_.SetKey(DigestOfKey("key-3"), TeamName("b"));
  }

  void AddTeam(const std::string& aName)
  {
    teams_.emplace_back().name_ = TeamName(aName);
    directory_.SetTeams(teams_);
  }

  static std::string NameOf(const TeamDirectory& aDirectory, std::string_view aKey)
  {
    const auto team = aDirectory.Find(DigestOfKey(aKey));
    return team ? team->terms_.name_.Text() : "";
  }
};

TEST(TeamDirectory, KeysLeadToTheirTeams)
{
  CHECK_EQUAL(std::string("a"), NameOf(directory_, "key-1"));
  CHECK_EQUAL(std::string("a"), NameOf(directory_, "key-2"));
  CHECK_EQUAL(std::string("b"), NameOf(directory_, "key-3"));
  CHECK_EQUAL(2U, directory_.Teams().size());
}

// A caller must not pass with a part of a key, in another case or with more around it.
TEST(TeamDirectory, OtherKeysLeadToNoTeam)
{
  for (const std::string key : { "", "key-", "key-11", "KEY-1", " key-1", "key-1 ", "k\xe9y-1" }) {
    CHECK_EQUAL(std::string(), NameOf(directory_, key));
  }
  CHECK_EQUAL(std::string(), NameOf(directory_, std::string(64 << 10, 'k')));
  CHECK_EQUAL(std::string(), NameOf(directory_, std::string_view("key-1\0", 6)));
}

// Guards against a key that stays valid after it was withdrawn, and against a change that shows in
// copies which are already in use.
TEST(TeamDirectory, ChangesApplyToOneCopy)
{
  const TeamDirectory before = directory_;
  directory_.RemoveKey(DigestOfKey("key-1"));
  directory_.SetKey(DigestOfKey("key-2"), TeamName("b"));
  teams_.erase(teams_.begin());
  directory_.SetTeams(teams_);
  CHECK_EQUAL(std::string(), NameOf(directory_, "key-1"));
  CHECK_EQUAL(std::string("b"), NameOf(directory_, "key-2"));
  CHECK_EQUAL(std::string("a"), NameOf(before, "key-1"));
  CHECK_EQUAL(std::string("a"), NameOf(before, "key-2"));
}

TEST(TeamDirectory, KeyWithoutATeamLeadsToNone)
{
  directory_.SetKey(DigestOfKey("key-1"), {});
  directory_.SetKey(DigestOfKey("key-4"), TeamName("later"));
  CHECK_EQUAL(std::string(), NameOf(directory_, "key-1"));
  CHECK_EQUAL(std::string(), NameOf(directory_, "key-4"));
  AddTeam("later");
  CHECK_EQUAL(std::string("later"), NameOf(directory_, "key-4"));
}

} // namespace boragepier
