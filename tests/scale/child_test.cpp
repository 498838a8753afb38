// Child processes run with the given arguments, and are killed when their object is destroyed or their parent
// dies.
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

bool IsRunning(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(file, text);
  return !text.empty() && text.find(") Z") == std::string::npos;
}

bool EndsSoon(pid_t pid) {
  const auto end = std::chrono::steady_clock::now() + 20s;
  while (IsRunning(pid) && std::chrono::steady_clock::now() < end) std::this_thread::sleep_for(5ms);
  return !IsRunning(pid);
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

TEST(Child, AMissingProgramEndsWithStatus127) {
  Child::Options options;
  options.program = "/nonexistent/program";
  Child child(options);
  const auto status = child.Wait(20s);
  ASSERT_TRUE(status);
  EXPECT_EQ(WEXITSTATUS(*status), 127);
}

TEST(Child, IsKilledByTheDestructor) {
  pid_t pid = 0;
  {
    Child child(Shell("while :; do sleep 1; done"));
    pid = child.pid();
    EXPECT_TRUE(IsRunning(pid));
    EXPECT_FALSE(child.Wait(0s));
  }
  EXPECT_FALSE(IsRunning(pid));
}

TEST(Child, IsKilledWhenItsOwnerDies) {
  // A fork of this process starts a child, writes its pid to a pipe, and is then killed.
  int pipe_fds[2];
  ASSERT_EQ(::pipe(pipe_fds), 0);
  const pid_t owner = ::fork();
  ASSERT_GE(owner, 0);
  if (owner == 0) {
    const Child child(Shell("while :; do sleep 1; done"));
    const pid_t pid = child.pid();
    if (::write(pipe_fds[1], &pid, sizeof pid) != sizeof pid) ::_exit(1);
    for (;;) ::pause();
  }
  pid_t pid = 0;
  ASSERT_EQ(::read(pipe_fds[0], &pid, sizeof pid), static_cast<ssize_t>(sizeof pid));
  EXPECT_TRUE(IsRunning(pid));
  ::kill(owner, SIGKILL);
  ::waitpid(owner, nullptr, 0);
  EXPECT_TRUE(EndsSoon(pid));
  ::close(pipe_fds[0]);
  ::close(pipe_fds[1]);
}

TEST(Child, ReportsItsCpuTimeAndMemory) {
  Child child(Shell("while :; do :; done"));
  const auto end = std::chrono::steady_clock::now() + 20s;
  while (child.cpu_us() < 1000 && std::chrono::steady_clock::now() < end) std::this_thread::sleep_for(5ms);
  EXPECT_GE(child.cpu_us(), 1000);
  EXPECT_GT(child.rss_bytes(), 0);
}

}  // namespace
}  // namespace merlinrun::scale
