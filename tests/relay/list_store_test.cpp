// Tests of ListStore: deltas, each entry at most once in a delta, dropped tombstones, saving and restoring.
#include "relay/list_store.hpp"

#include "fixture.hpp"

namespace merlinrun::relay {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)
using StatesById = std::map<std::string, std::string>;

class ListStoreTest : public ::testing::Test {
 protected:
  ListStoreTest() { store.Apply(List(41, true, {Instance("a"), Instance("b"), Instance("c")})); }
  void Change(std::int64_t generation, const std::string& id, const std::string& lifecycle = "up") {
    EXPECT_TRUE(store.Apply(List(generation, false, {Instance(id, lifecycle)})));
  }
  // Returns the changes that are sent to a client with the list of generation `index`, or `full_list_only` if
  // it needs the full list.
  static StatesById ChangesSince(const ListStore& store, std::int64_t index) {
    const auto position = store.FindPosition(index);
    if (!position) return {{"full list", ""}};
    const Json object = Json::parse(store.ChangesAfter(*position));
    EXPECT_EQ(object.at("generation"), store.generation());
    EXPECT_FALSE(object.at("reset"));
    return States(object);
  }
  StatesById ChangesSince(std::int64_t index) const { return ChangesSince(store, index); }

  ListStore store{3};
  const StatesById full_list_only = {{"full list", ""}};
};

TEST_F(ListStoreTest, ReturnsTheChangesAfterAGeneration) {
  Change(43, "b", "draining");
  Change(44, "d");
  EXPECT_EQ(ChangesSince(41), (StatesById{{"b", "draining"}, {"d", "up"}}));
  EXPECT_EQ(ChangesSince(42), ChangesSince(41));
  EXPECT_EQ(ChangesSince(43), (StatesById{{"d", "up"}}));
  EXPECT_EQ(ChangesSince(44), StatesById());
  EXPECT_EQ(ChangesSince(40), full_list_only);  // lower than the first generation of the list
  const Json list = Json::parse(store.FullList());
  EXPECT_EQ(States(list), (StatesById{{"a", "up"}, {"b", "draining"}, {"c", "up"}, {"d", "up"}}));
  EXPECT_TRUE(list.at("reset"));
}

TEST_F(ListStoreTest, ADeltaContainsAFlappingEntryOnceWithItsLastState) {
  for (int i = 0; i < 50; ++i) Change(42 + i, "a", i % 2 == 0 ? "draining" : "up");
  EXPECT_EQ(ChangesSince(41), (StatesById{{"a", "up"}}));
  EXPECT_EQ(store.entries(), 3U);
}

TEST_F(ListStoreTest, PassesOnUnknownFieldsOfAnEntry) {
  Json entry = Instance("n");
  entry["colour"] = {1, "zwei"};
  store.Apply(List(42, false, {entry}));
  EXPECT_EQ(Json::parse(store.ChangesAfter(*store.FindPosition(41))).at("instances").at(0), entry);
}

TEST_F(ListStoreTest, KeepsALimitedNumberOfTombstonesAndRefusesDeltasThatNeedOlderOnes) {
  for (int i = 0; i < 5; ++i) {
    Change(42 + 2 * i, "n" + std::to_string(i));
    Change(43 + 2 * i, "n" + std::to_string(i), "removed");
  }
  EXPECT_EQ(store.entries(), 3U);
  EXPECT_EQ(store.tombstones(), 3U);
  EXPECT_EQ(store.min_delta_generation(), 45);  // n1 has the last tombstone that was dropped
  EXPECT_EQ(ChangesSince(44), full_list_only);
  EXPECT_EQ(ChangesSince(45), (StatesById{{"n2", "removed"}, {"n3", "removed"}, {"n4", "removed"}}));
  Change(60, "n2");  // it is added again
  EXPECT_EQ(ChangesSince(45), (StatesById{{"n2", "up"}, {"n3", "removed"}, {"n4", "removed"}}));
}

TEST_F(ListStoreTest, ALaterFullListIsStoredAsItsDifferences) {
  const auto before = store.position();
  EXPECT_TRUE(store.Apply(List(50, true, {Instance("a"), Instance("b", "draining"), Instance("d")})));
  EXPECT_EQ(ChangesSince(41), (StatesById{{"b", "draining"}, {"c", "removed"}, {"d", "up"}}));
  EXPECT_TRUE(store.CoversChangesAfter(before));
  EXPECT_FALSE(store.Apply(List(51, true, {Instance("a"), Instance("b", "draining"), Instance("d")})));
  EXPECT_EQ(ChangesSince(50), StatesById());
  // The state of `a` at 45 is not known, so a client with the list of 45 may have a different one.
  EXPECT_EQ(ChangesSince(45), full_list_only);
}

// Another discovery may have the same generation by chance.
TEST_F(ListStoreTest, DifferentContentUnderTheSameGenerationIsDetected) {
  const auto before = store.position();
  EXPECT_TRUE(store.Apply(List(41, true, {Instance("a", "draining"), Instance("b"), Instance("c")})));
  EXPECT_EQ(States(Json::parse(store.ChangesAfter(before))), (StatesById{{"a", "draining"}}));
  EXPECT_EQ(ChangesSince(41), full_list_only);
  Change(42, "b");
  EXPECT_EQ(ChangesSince(42), StatesById());
}

TEST_F(ListStoreTest, AFullListWithALowerGenerationReplacesTheList) {
  const auto before = store.position();
  EXPECT_TRUE(store.Apply(List(3, true, {Instance("z")})));
  EXPECT_FALSE(store.CoversChangesAfter(before));
  EXPECT_EQ(store.min_delta_generation(), 3);
  EXPECT_EQ(store.entries(), 1U);
  EXPECT_EQ(store.tombstones(), 0U);
}

TEST_F(ListStoreTest, RestoreReturnsTheSerializedState) {
  Change(42, "a", "draining");
  Change(45, "c", "removed");
  store.Apply(List(50, true, {Instance("a", "draining"), Instance("b"), Instance("e")}));
  Change(52, "b");
  ListStore other(3);
  std::string error;
  ASSERT_TRUE(other.Restore(store.Serialize(), error)) << error;
  EXPECT_EQ(other.Serialize(), store.Serialize());
  for (std::int64_t index = 40; index <= 52; ++index)
    EXPECT_EQ(ChangesSince(other, index), ChangesSince(index)) << index;
  EXPECT_EQ(States(Json::parse(other.FullList())), States(Json::parse(store.FullList())));
}

TEST_F(ListStoreTest, RestoreOfAnIncompleteOrInvalidTextLeavesTheStoreEmpty) {
  const std::string saved = store.Serialize();
  std::vector<std::string> bad = {"", "{}", "[]", "{\"format\":\"another\"}"};
  for (std::size_t cut = 1; cut + 1 < saved.size(); cut += 37) bad.push_back(saved.substr(0, cut));
  Json json = Json::parse(saved);
  json["entries"][1]["entry"].erase("lifecycle");
  bad.push_back(json.dump());
  json = Json::parse(saved);
  json["entries"][1]["at"] = 99;  // higher than the generation of the list
  bad.push_back(json.dump());
  for (const std::string& text : bad) {
    ListStore other(3);
    std::string error;
    EXPECT_FALSE(other.Restore(text, error)) << text;
    EXPECT_FALSE(error.empty());
    EXPECT_FALSE(other.known());
    EXPECT_EQ(other.entries(), 0U);
  }
}

}  // namespace
}  // namespace merlinrun::relay
