#include "socket_state.hpp"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>

namespace merlinrun::net {
namespace {

// The descriptor of a socket; Asio has no constant access to it.
int Descriptor(const Tcp::socket& socket) { return const_cast<Tcp::socket&>(socket).native_handle(); }

}  // namespace

std::size_t UnreadBytes(const Tcp::socket& socket) {
  ErrorCode error;
  const std::size_t bytes = socket.available(error);
  return error ? 0 : bytes;
}

std::size_t ReceiveBufferSize(const Tcp::socket& socket) {
  ErrorCode error;
  asio::socket_base::receive_buffer_size size;
  socket.get_option(size, error);
  return static_cast<std::size_t>(error ? 0 : std::max(size.value(), 0));
}

std::size_t UnacknowledgedBytes(const Tcp::socket& socket) {
  int bytes = 0;
  const int failed = ::ioctl(Descriptor(socket), SIOCOUTQ, &bytes);
  return failed != 0 || bytes < 0 ? 0 : static_cast<std::size_t>(bytes);
}

bool PeerHasClosed(const Tcp::socket& socket) {
  pollfd fd{Descriptor(socket), POLLRDHUP, 0};
  return ::poll(&fd, 1, /*timeout=*/0) == 1 && (fd.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

std::chrono::steady_clock::time_point LastInputAt(const Tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof info;
  const int failed = ::getsockopt(Descriptor(socket), IPPROTO_TCP, TCP_INFO, &info, &size);
  return std::chrono::steady_clock::now() -
         std::chrono::milliseconds(failed != 0 ? 0 : info.tcpi_last_data_recv);
}

}  // namespace merlinrun::net
