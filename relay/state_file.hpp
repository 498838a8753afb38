// Keeps the list across restarts of the relay, in a file that is replaced atomically.
#ifndef MERLINRUN_RELAY_STATE_FILE_HPP_
#define MERLINRUN_RELAY_STATE_FILE_HPP_

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "net/protocol.hpp"
#include "relay/list_store.hpp"

namespace merlinrun::relay {

class StateFile {
 public:
  using Clock = std::chrono::steady_clock;

  // With an empty path nothing is saved.
  StateFile(net::asio::io_context& io, std::string path, const ListStore& store);
  StateFile(const StateFile&) = delete;
  StateFile& operator=(const StateFile&) = delete;

  // Restores the store from the file. If the file is incomplete or invalid, logs a warning and leaves the
  // store empty.
  void Read(ListStore& store);

  // To be called when the store has changed. Schedules a write of the file; there is at most one a second.
  void OnChange();
  // Writes changes that have not been written yet, now.
  void Flush();

 private:
  void Write();

  const std::string path_;
  const ListStore& store_;
  net::asio::steady_timer timer_;
  Clock::time_point next_write_at_;  // the earliest time of the next write
  bool dirty_ = false;
  std::shared_ptr<StateFile*> lifetime_;  // timer handlers hold a weak pointer to it
};

}  // namespace merlinrun::relay

#endif  // MERLINRUN_RELAY_STATE_FILE_HPP_
