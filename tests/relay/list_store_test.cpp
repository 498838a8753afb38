// Deltas, compaction, what is forgotten, and the way through a file.
#include "relay/list_store.hpp"

#include "fixture.hpp"

namespace merlinrun::relay {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)
using Names = std::map<std::string, std::string>;

class ListStoreTest : public ::testing::Test {
 protected:
  ListStoreTest() { store.Take(List(41, true, {Instance("a"), Instance("b"), Instance("c")})); }
  void Change(std::int64_t generation, const std::string& id, const std::string& lifecycle = "up") {
    EXPECT_TRUE(store.Take(List(generation, false, {Instance(id, lifecycle)})));
  }
  // What somebody is told who knows the list of `index`; the whole list under "whole".
  static Names Told(const ListStore& store, std::int64_t index) {
    const auto position = store.Find(index);
    if (!position) return {{"whole", ""}};
    const Json object = Json::parse(store.After(*position));
    EXPECT_EQ(object.at("generation"), store.generation());
    EXPECT_FALSE(object.at("reset"));
    return States(object);
  }
  Names Told(std::int64_t index) const { return Told(store, index); }

  ListStore store{3};
  const Names whole = {{"whole", ""}};
};

TEST_F(ListStoreTest, TellsWhatChangedAfterAnIndex) {
  Change(43, "b", "draining");
  Change(44, "d");
  EXPECT_EQ(Told(41), (Names{{"b", "draining"}, {"d", "up"}}));
  EXPECT_EQ(Told(42), Told(41));
  EXPECT_EQ(Told(43), (Names{{"d", "up"}}));
  EXPECT_EQ(Told(44), Names());
  EXPECT_EQ(Told(40), whole);  // before the list began
  const Json list = Json::parse(store.Whole());
  EXPECT_EQ(States(list), (Names{{"a", "up"}, {"b", "draining"}, {"c", "up"}, {"d", "up"}}));
  EXPECT_TRUE(list.at("reset"));
}

TEST_F(ListStoreTest, AFlappingEntryIsToldOnceWithItsLastState) {
  for (int i = 0; i < 50; ++i) Change(42 + i, "a", i % 2 == 0 ? "draining" : "up");
  EXPECT_EQ(Told(41), (Names{{"a", "up"}}));
  EXPECT_EQ(store.entries(), 3U);
}

TEST_F(ListStoreTest, PassesOnWhatItDoesNotKnowOfAnEntry) {
  Json entry = Instance("n");
  entry["colour"] = {1, "zwei"};
  store.Take(List(42, false, {entry}));
  EXPECT_EQ(Json::parse(store.After(*store.Find(41))).at("instances").at(0), entry);
}

TEST_F(ListStoreTest, RemembersSoManyRemovedAndKnowsWhomItCanNoLongerTell) {
  for (int i = 0; i < 5; ++i) {
    Change(42 + 2 * i, "n" + std::to_string(i));
    Change(43 + 2 * i, "n" + std::to_string(i), "removed");
  }
  EXPECT_EQ(store.entries(), 3U);
  EXPECT_EQ(store.tombstones(), 3U);
  EXPECT_EQ(store.floor(), 45);  // n1 is the last that is forgotten
  EXPECT_EQ(Told(44), whole);
  EXPECT_EQ(Told(45), (Names{{"n2", "removed"}, {"n3", "removed"}, {"n4", "removed"}}));
  Change(60, "n2");  // it has come back
  EXPECT_EQ(Told(45), (Names{{"n2", "up"}, {"n3", "removed"}, {"n4", "removed"}}));
}

TEST_F(ListStoreTest, AWholeListBecomesTheDifference) {
  const auto before = store.position();
  EXPECT_TRUE(store.Take(List(50, true, {Instance("a"), Instance("b", "draining"), Instance("d")})));
  EXPECT_EQ(Told(41), (Names{{"b", "draining"}, {"c", "removed"}, {"d", "up"}}));
  EXPECT_TRUE(store.Reaches(before));
  EXPECT_FALSE(store.Take(List(51, true, {Instance("a"), Instance("b", "draining"), Instance("d")})));
  EXPECT_EQ(Told(50), Names());
  // What `a` was at 45 is not known here: whoever has the list of 45 may have it otherwise.
  EXPECT_EQ(Told(45), whole);
}

// Another discovery may be at the same generation by chance.
TEST_F(ListStoreTest, OtherContentUnderTheSameGenerationIsNotTakenForTheSame) {
  const auto before = store.position();
  EXPECT_TRUE(store.Take(List(41, true, {Instance("a", "draining"), Instance("b"), Instance("c")})));
  EXPECT_EQ(States(Json::parse(store.After(before))), (Names{{"a", "draining"}}));
  EXPECT_EQ(Told(41), whole);
  Change(42, "b");
  EXPECT_EQ(Told(42), Names());
}

TEST_F(ListStoreTest, ALowerGenerationBeginsAnew) {
  const auto before = store.position();
  EXPECT_TRUE(store.Take(List(3, true, {Instance("z")})));
  EXPECT_FALSE(store.Reaches(before));
  EXPECT_EQ(store.floor(), 3);
  EXPECT_EQ(store.entries(), 1U);
  EXPECT_EQ(store.tombstones(), 0U);
}

TEST_F(ListStoreTest, IsTheSameAfterItsFile) {
  Change(42, "a", "draining");
  Change(45, "c", "removed");
  store.Take(List(50, true, {Instance("a", "draining"), Instance("b"), Instance("e")}));
  Change(52, "b");
  ListStore other(3);
  std::string error;
  ASSERT_TRUE(other.Restore(store.Saved(), error)) << error;
  EXPECT_EQ(other.Saved(), store.Saved());
  for (std::int64_t index = 40; index <= 52; ++index) EXPECT_EQ(Told(other, index), Told(index)) << index;
  EXPECT_EQ(States(Json::parse(other.Whole())), States(Json::parse(store.Whole())));
}

TEST_F(ListStoreTest, AFileThatIsTornOrForeignLeavesItEmpty) {
  const std::string saved = store.Saved();
  std::vector<std::string> bad = {"", "{}", "[]", "{\"format\":\"another\"}"};
  for (std::size_t cut = 1; cut + 1 < saved.size(); cut += 37) bad.push_back(saved.substr(0, cut));
  Json json = Json::parse(saved);
  json["entries"][1]["entry"].erase("lifecycle");
  bad.push_back(json.dump());
  json = Json::parse(saved);
  json["entries"][1]["at"] = 99;  // beyond the generation
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
