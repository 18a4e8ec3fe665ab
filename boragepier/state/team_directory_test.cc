#include "boragepier/state/team_directory.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace boragepier {

TEST_GROUP(TeamDirectory){
  static TeamConfig MakeTeam(const std::string& aName,
                             const std::vector<std::string>& aKeys){ TeamConfig team;
team.name_ = TeamName(aName);
for (const std::string& key : aKeys) {
  team.keys_.push_back(DigestOfKey(key));
}
return team;
}
}
;

TEST(TeamDirectory, KeysLeadToTheirTeams)
{
  const std::vector<TeamConfig> configs = { MakeTeam("a", { "key-1", "key-2" }),
                                            MakeTeam("b", { "key-3" }),
                                            MakeTeam("none", {}) };
  const TeamDirectory directory(configs);
  CHECK(directory.Find("key-1")->config_.name_.View() == "a");
  CHECK(directory.Find("key-2")->config_.name_.View() == "a");
  CHECK(directory.Find("key-3")->config_.name_.View() == "b");
  CHECK_EQUAL(3U, directory.Teams().size());
  CHECK_EQUAL(TeamIdOf(TeamName("a")), directory.Find("key-1")->id_);
}

// A caller must not pass with a part of a key, another case or surrounding space.
TEST(TeamDirectory, OtherKeysLeadToNoTeam)
{
  const std::vector<TeamConfig> configs = { MakeTeam("a", { "key-1" }) };
  const TeamDirectory directory(configs);
  for (const std::string key : { "", "key-", "key-11", "KEY-1", " key-1", "key-1 " }) {
    CHECK(directory.Find(key) == nullptr);
  }
  CHECK(directory.Find(std::string(64 << 10, 'k')) == nullptr);
  CHECK(directory.Find(std::string("key-1\0", 6)) == nullptr);
}

// With one key at two teams, the requests of one of them would count for the other.
TEST(TeamDirectory, KeyOfTwoTeamsBelongsToNone)
{
  const std::vector<TeamConfig> configs = { MakeTeam("a", { "key-1", "key-1", "key-2" }),
                                            MakeTeam("b", { "key-2", "key-3" }) };
  const TeamDirectory directory(configs);
  CHECK(directory.Find("key-1") != nullptr);
  CHECK(directory.Find("key-2") == nullptr);
  CHECK(directory.Find("key-3") != nullptr);
}

} // namespace boragepier
