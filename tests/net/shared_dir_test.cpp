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
  own.AcquirePresenceLock();
  EXPECT_FALSE(own.Scan().other_process_alive);
  auto other = std::make_unique<SharedDir>(path);
  other->AcquirePresenceLock();
  EXPECT_TRUE(own.Scan().other_process_alive);
  EXPECT_TRUE(other->Scan().other_process_alive);
  other.reset();
  EXPECT_FALSE(own.Scan().other_process_alive);
}

TEST_F(SharedDirTest, DeletesThePresenceFileOfAKilledProcess) {
  std::ofstream(path + "/alive.abcdef") << "";
  SharedDir own(path);
  own.AcquirePresenceLock();
  EXPECT_FALSE(own.Scan().other_process_alive);
  EXPECT_FALSE(std::filesystem::exists(path + "/alive.abcdef"));
}

TEST_F(SharedDirTest, RecordsOutliveTheProcessAndWritingIsIdempotent) {
  const std::set<std::string> servers = {"s-1", "../s", "a/b", "s.1", "%2e", "a b", "\n", "\xc3\xa9", "S-1"};
  {
    SharedDir own(path);
    for (const std::string& server : servers)
      EXPECT_TRUE(own.RecordAdminDown(server) && own.RecordAdminDown(server));
  }
  SharedDir next(path);
  EXPECT_EQ(next.Scan().admin_down, servers);
  for (const auto& entry : std::filesystem::directory_iterator(path))
    EXPECT_TRUE(entry.is_regular_file()) << entry.path();
  EXPECT_TRUE(next.ClearAdminDown("a/b") && next.ClearAdminDown("a/b"));
  EXPECT_EQ(next.Scan().admin_down.size(), servers.size() - 1);
}

TEST_F(SharedDirTest, LogsIncompleteAndUnknownFilesOnceAndKeepsThem) {
  std::ofstream(path + "/out.s1") << "s1";    // incomplete: no line end
  std::ofstream(path + "/out.s2") << "s3\n";  // the record of another server
  std::ofstream(path + "/out.s4") << "";
  std::ofstream(path + "/notes\ntxt") << "hello\n";
  std::filesystem::create_directory(path + "/out.s5");
  SharedDir own(path);
  ::testing::internal::CaptureStderr();
  EXPECT_TRUE(own.Scan().admin_down.empty());
  EXPECT_TRUE(own.Scan().admin_down.empty());
  const std::string logged = ::testing::internal::GetCapturedStderr();
  EXPECT_EQ(std::count(logged.begin(), logged.end(), '\n'), 5) << logged;
  EXPECT_TRUE(std::filesystem::exists(path + "/notes\ntxt"));
}

TEST_F(SharedDirTest, TheNextProcessReadsTheLastHandoverFile) {
  SharedDir own(path);
  EXPECT_EQ(own.ReadHandover(), "");
  EXPECT_TRUE(own.WriteHandover("one\n"));
  EXPECT_TRUE(own.WriteHandover("two\n"));
  SharedDir next(path);
  EXPECT_EQ(next.ReadHandover(), "two\n");
  EXPECT_TRUE(next.Scan().admin_down.empty());
  EXPECT_FALSE(own.WriteHandover(std::string(std::size_t{1} << 20, 'x')));
  EXPECT_EQ(next.ReadHandover(), "two\n");
}

TEST_F(SharedDirTest, ReportsRecordsThatCannotBeWritten) {
  SharedDir none("");
  EXPECT_FALSE(none.RecordAdminDown("s1") || none.ClearAdminDown("s1"));
  SharedDir missing(path + "/missing");
  EXPECT_FALSE(missing.RecordAdminDown("s1"));
  SharedDir own(path);
  EXPECT_FALSE(own.RecordAdminDown(std::string(300, 'x')));
  EXPECT_FALSE(own.RecordAdminDown(std::string(150, '/')));  // the encoded file name would be too long
  EXPECT_TRUE(std::filesystem::is_empty(path));
}

TEST_F(SharedDirTest, WithoutAFolderNothingIsShared) {
  for (const std::string& none : {std::string(), path + "/missing"}) {
    SharedDir own(none);
    own.AcquirePresenceLock();
    EXPECT_FALSE(own.Scan().other_process_alive);
  }
}

}  // namespace
}  // namespace merlinrun::net
