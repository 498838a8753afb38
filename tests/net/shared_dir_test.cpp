// The shared folder: presence of the other process, records of servers that are administratively down, and
// the handover file.
#include "net/shared_dir.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <set>
#include <string>

namespace merlinrun::net {
namespace {

class SharedDirTest : public ::testing::Test {
 protected:
  SharedDirTest() {
    char name[] = "/tmp/fennelhollow-shared-XXXXXX";
    path = ::mkdtemp(name);
  }
  ~SharedDirTest() override { std::filesystem::remove_all(path); }

  std::string path;
};

TEST_F(SharedDirTest, SeesTheOtherProcessWhileItIsAlive) {
  SharedDir own(path);
  own.ShowPresence();
  EXPECT_FALSE(own.Look().others);
  auto other = std::make_unique<SharedDir>(path);
  other->ShowPresence();
  EXPECT_TRUE(own.Look().others);
  EXPECT_TRUE(other->Look().others);
  other.reset();
  EXPECT_FALSE(own.Look().others);
}

TEST_F(SharedDirTest, DeletesThePresenceFileOfAKilledProcess) {
  std::ofstream(path + "/alive.abcdef") << "";
  SharedDir own(path);
  own.ShowPresence();
  EXPECT_FALSE(own.Look().others);
  EXPECT_FALSE(std::filesystem::exists(path + "/alive.abcdef"));
}

TEST_F(SharedDirTest, RecordsOutliveTheProcessAndWritingIsIdempotent) {
  const std::set<std::string> servers = {"s-1", "../s", "a/b", "s.1", "%2e", "a b", "\n", "\xc3\xa9", "S-1"};
  {
    SharedDir own(path);
    for (const std::string& server : servers) EXPECT_TRUE(own.Keep(server) && own.Keep(server));
  }
  SharedDir next(path);
  EXPECT_EQ(next.Look().out, servers);
  for (const auto& entry : std::filesystem::directory_iterator(path))
    EXPECT_TRUE(entry.is_regular_file()) << entry.path();
  EXPECT_TRUE(next.Drop("a/b") && next.Drop("a/b"));
  EXPECT_EQ(next.Look().out.size(), servers.size() - 1);
}

TEST_F(SharedDirTest, LogsIncompleteAndUnknownFilesOnceAndKeepsThem) {
  std::ofstream(path + "/out.s1") << "s1";    // incomplete: no line end
  std::ofstream(path + "/out.s2") << "s3\n";  // the record of another server
  std::ofstream(path + "/out.s4") << "";
  std::ofstream(path + "/notes\ntxt") << "hello\n";
  std::filesystem::create_directory(path + "/out.s5");
  SharedDir own(path);
  ::testing::internal::CaptureStderr();
  EXPECT_TRUE(own.Look().out.empty());
  EXPECT_TRUE(own.Look().out.empty());
  const std::string logged = ::testing::internal::GetCapturedStderr();
  EXPECT_EQ(std::count(logged.begin(), logged.end(), '\n'), 5) << logged;
  EXPECT_TRUE(std::filesystem::exists(path + "/notes\ntxt"));
}

TEST_F(SharedDirTest, TheNextProcessReadsTheLastHandoverFile) {
  SharedDir own(path);
  EXPECT_EQ(own.Left(), "");
  EXPECT_TRUE(own.Leave("one\n"));
  EXPECT_TRUE(own.Leave("two\n"));
  SharedDir next(path);
  EXPECT_EQ(next.Left(), "two\n");
  EXPECT_TRUE(next.Look().out.empty());
  EXPECT_FALSE(own.Leave(std::string(std::size_t{1} << 20, 'x')));
  EXPECT_EQ(next.Left(), "two\n");
}

TEST_F(SharedDirTest, ReportsRecordsThatCannotBeWritten) {
  SharedDir none("");
  EXPECT_FALSE(none.Keep("s1") || none.Drop("s1"));
  SharedDir missing(path + "/missing");
  EXPECT_FALSE(missing.Keep("s1"));
  SharedDir own(path);
  EXPECT_FALSE(own.Keep(std::string(300, 'x')));
  EXPECT_FALSE(own.Keep(std::string(150, '/')));  // the encoded file name would be too long
  EXPECT_TRUE(std::filesystem::is_empty(path));
}

TEST_F(SharedDirTest, WithoutAFolderNothingIsShared) {
  for (const std::string& none : {std::string(), path + "/missing"}) {
    SharedDir own(none);
    own.ShowPresence();
    EXPECT_FALSE(own.Look().others);
  }
}

}  // namespace
}  // namespace merlinrun::net
