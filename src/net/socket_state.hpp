// What the kernel knows about the state of a TCP connection. If the kernel does not tell, each function
// returns what its comment says; none fails.
#ifndef MERLINRUN_NET_SOCKET_STATE_HPP_
#define MERLINRUN_NET_SOCKET_STATE_HPP_

#include <chrono>
#include <cstddef>

#include "protocol.hpp"

namespace merlinrun::net {

// Input that has been received and not read yet, in bytes; 0 if that is not known.
std::size_t UnreadBytes(const Tcp::socket& socket);
// How much input the kernel may hold, in bytes; 0 if that is not known.
std::size_t ReceiveBufferSize(const Tcp::socket& socket);
// Output that has been written and not acknowledged by the peer's kernel, in bytes; 0 if that is not known.
std::size_t UnacknowledgedBytes(const Tcp::socket& socket);
// Whether the peer has closed or reset the connection; false if that is not known. Input that it sent before
// may still be unread.
bool PeerHasClosed(const Tcp::socket& socket);
// When the newest input was received, whether it has been read or not; the current time if that is not known.
std::chrono::steady_clock::time_point LastInputAt(const Tcp::socket& socket);

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_SOCKET_STATE_HPP_
