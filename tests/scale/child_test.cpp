// Children are started as told, and end with their object and with their owner.
#include "scale/child.hpp"

#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <string>
#include <thread>

namespace merlinrun::scale {
namespace {

using namespace std::chrono_literals;

bool Runs(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(file, text);
  return !text.empty() && text.find(") Z") == std::string::npos;
}

bool EndsSoon(pid_t pid) {
  const auto end = std::chrono::steady_clock::now() + 20s;
  while (Runs(pid) && std::chrono::steady_clock::now() < end) std::this_thread::sleep_for(5ms);
  return !Runs(pid);
}

Child::Options Shell(const std::string& script) {
  Child::Options options;
  options.program = "/bin/sh";
  options.arguments = {"-c", script};
  return options;
}

TEST(Child, RunsAProgramWithArgumentsAndEnvironment) {
  Child::Options options = Shell("test \"$MARK\" = yes -a \"$0\" = one && exit 7");
  options.arguments.emplace_back("one");
  options.environment = {"MARK=yes"};
  Child child(options);
  const auto status = child.Wait(20s);
  ASSERT_TRUE(status);
  EXPECT_TRUE(WIFEXITED(*status));
  EXPECT_EQ(WEXITSTATUS(*status), 7);
}

TEST(Child, AProgramThatIsNotThereEndsWithStatus127) {
  Child::Options options;
  options.program = "/nonexistent/program";
  Child child(options);
  const auto status = child.Wait(20s);
  ASSERT_TRUE(status);
  EXPECT_EQ(WEXITSTATUS(*status), 127);
}

TEST(Child, IsEndedWithItsObject) {
  pid_t pid = 0;
  {
    Child child(Shell("while :; do sleep 1; done"));
    pid = child.pid();
    EXPECT_TRUE(Runs(pid));
    EXPECT_FALSE(child.Wait(0s));
  }
  EXPECT_FALSE(Runs(pid));
}

TEST(Child, IsEndedWithItsOwner) {
  // A fork of this process is the owner of a child, tells its pid, and is killed.
  int line[2];
  ASSERT_EQ(::pipe(line), 0);
  const pid_t owner = ::fork();
  ASSERT_GE(owner, 0);
  if (owner == 0) {
    const Child child(Shell("while :; do sleep 1; done"));
    const pid_t pid = child.pid();
    if (::write(line[1], &pid, sizeof pid) != sizeof pid) ::_exit(1);
    for (;;) ::pause();
  }
  pid_t pid = 0;
  ASSERT_EQ(::read(line[0], &pid, sizeof pid), static_cast<ssize_t>(sizeof pid));
  EXPECT_TRUE(Runs(pid));
  ::kill(owner, SIGKILL);
  ::waitpid(owner, nullptr, 0);
  EXPECT_TRUE(EndsSoon(pid));
  ::close(line[0]);
  ::close(line[1]);
}

TEST(Child, TellsItsCpuAndMemory) {
  Child child(Shell("while :; do :; done"));
  const auto end = std::chrono::steady_clock::now() + 20s;
  while (child.cpu_us() < 1000 && std::chrono::steady_clock::now() < end) std::this_thread::sleep_for(5ms);
  EXPECT_GE(child.cpu_us(), 1000);
  EXPECT_GT(child.rss_bytes(), 0);
}

}  // namespace
}  // namespace merlinrun::scale
