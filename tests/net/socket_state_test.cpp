// Tests what the kernel tells about a connection, and what is assumed where it does not.
#include "net/socket_state.hpp"

#include <chrono>
#include <string>
#include <thread>

#include "loopback.hpp"

namespace merlinrun::net {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)
using Clock = std::chrono::steady_clock;

constexpr auto kWait = 300ms;
constexpr auto kClockTick = 10ms;  // the longest tick in which kernels count the age of input

// A connection over loopback, whose two ends the test reads and writes.
class SocketStateTest : public ::testing::Test {
 protected:
  SocketStateTest() {
    peer.connect(acceptor.local_endpoint());
    socket = acceptor.accept();
  }

  asio::io_context io;
  Tcp::acceptor acceptor{io, Loopback()};
  Tcp::socket peer{io};
  Tcp::socket socket{io};
};

TEST_F(SocketStateTest, CountsUnreadInputAndUnacknowledgedOutput) {
  EXPECT_EQ(UnreadBytes(socket), 0U);
  asio::write(peer, asio::buffer(std::string(100, 'x')));
  EXPECT_TRUE(RunUntil(io, [&] { return UnreadBytes(socket) == 100; }));
  socket.non_blocking(true);
  const std::string piece(std::size_t{1} << 20, 'x');
  ErrorCode error;
  while (!error) socket.write_some(asio::buffer(piece), error);
  EXPECT_GT(UnacknowledgedBytes(socket), 0U);
  EXPECT_GT(ReceiveBufferSize(socket), 0U);
}

TEST_F(SocketStateTest, TheLastInputIsDatedByItsArrivalAndNotByItsRead) {
  const auto before = Clock::now();
  asio::write(peer, asio::buffer(std::string("x")));
  ASSERT_TRUE(RunUntil(io, [&] { return UnreadBytes(socket) > 0; }));
  const auto after = Clock::now();
  std::this_thread::sleep_for(kWait);
  EXPECT_GE(LastInputAt(socket), before - kClockTick);
  EXPECT_LE(LastInputAt(socket), after + kClockTick);
}

TEST_F(SocketStateTest, APeerThatClosedIsSeenBehindUnreadInput) {
  asio::write(peer, asio::buffer(std::string("x")));
  EXPECT_FALSE(PeerHasClosed(socket));
  peer.close();
  EXPECT_TRUE(RunUntil(io, [&] { return PeerHasClosed(socket); }));
}

// Every system call fails on a closed socket.
TEST_F(SocketStateTest, NothingIsAssumedIfTheKernelDoesNotTell) {
  socket.close();
  EXPECT_EQ(UnreadBytes(socket), 0U);
  EXPECT_EQ(ReceiveBufferSize(socket), 0U);
  EXPECT_EQ(UnacknowledgedBytes(socket), 0U);
  EXPECT_FALSE(PeerHasClosed(socket));
  EXPECT_GE(LastInputAt(socket), Clock::now() - 1s);
}

}  // namespace
}  // namespace merlinrun::net
