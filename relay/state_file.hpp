// The relay's memory over a restart: a file that is replaced as a whole.
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

  // No path: keeps nothing.
  StateFile(net::asio::io_context& io, std::string path, const ListStore& store);
  StateFile(const StateFile&) = delete;
  StateFile& operator=(const StateFile&) = delete;

  // Reads the file into the store; a file that is torn or not a relay's leaves it empty, with a line on the
  // log.
  void Read(ListStore& store);

  // The store has changed: it is written soon, at most once a second.
  void OnChange();
  // Writes now what has not been written.
  void Flush();

 private:
  void Write();

  const std::string path_;
  const ListStore& store_;
  net::asio::steady_timer timer_;
  Clock::time_point next_;  // not written before then
  bool dirty_ = false;
  std::shared_ptr<StateFile*> life_;  // handlers hold it weakly
};

}  // namespace merlinrun::relay

#endif  // MERLINRUN_RELAY_STATE_FILE_HPP_
