// What two processes of one sidecar see of each other.
#include "net/shared_dir.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>

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

TEST_F(SharedDirTest, ShowsTheOtherProcessForAsLongAsItLives) {
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

TEST_F(SharedDirTest, WhatAKilledProcessLeftIsClearedAway) {
  std::ofstream(path + "/alive.abcdef") << "";
  SharedDir own(path);
  own.ShowPresence();
  EXPECT_FALSE(own.Look().others);
  EXPECT_FALSE(std::filesystem::exists(path + "/alive.abcdef"));
}

TEST_F(SharedDirTest, NoFolderSharesNothing) {
  for (const std::string& none : {std::string(), path + "/missing"}) {
    SharedDir own(none);
    own.ShowPresence();
    EXPECT_FALSE(own.Look().others);
  }
}

}  // namespace
}  // namespace merlinrun::net
