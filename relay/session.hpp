// One connection to a relay. It carries one call, which is either answered once or opens a watch.
#ifndef MERLINRUN_RELAY_SESSION_HPP_
#define MERLINRUN_RELAY_SESSION_HPP_

#include <array>
#include <boost/asio/buffer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "net/protocol.hpp"
#include "relay/admission.hpp"
#include "relay/feed.hpp"
#include "relay/text.hpp"

namespace merlinrun::relay {

class Server;

class Session : public FullListReceiver, public std::enable_shared_from_this<Session> {
 public:
  using Clock = std::chrono::steady_clock;
  using Ptr = std::shared_ptr<Session>;

  // kWaiting: a call waits for the full list. kLingering: the answer has been sent, the peer has to close.
  enum class Phase { kReadingHead, kWaiting, kAnswering, kLingering, kWatching, kClosed };

  // Identifies the session in the server's tick slots.
  struct TickSlot {
    std::size_t index = 0;
    std::list<Ptr>::iterator entry;
  };

  Session(Server& server, net::Tcp::socket socket);
  ~Session() override;

  void Start();
  // Sends new changes. Does nothing unless this is a watch with no write in progress.
  void SendUpdates();
  // To be called every two seconds. Sends a heartbeat on a watch, or closes the connection if the peer reads
  // nothing or too slowly.
  void Tick();
  // Closes the connection and removes the session from the server.
  void Close();
  // Closes the connection only. For the destructor of the server.
  void CloseWithoutRemoval();

  Phase phase() const { return phase_; }

  bool AwaitsFullList() const override { return awaits_full_list_; }
  void OnAdmitted() override;
  void OnRefused() override;

  TickSlot tick_slot;  // set and used by the server

 private:
  struct RequestHead;

  void OnHead(net::ErrorCode error);
  void Answer();
  void AnswerEndpoints(std::string_view query);
  void ResolveAwaitedGeneration(bool allow_full_list);
  void SendNext();
  void AnswerError(net::http::status status, const char* text, const char* allow = nullptr);
  void AnswerWith(net::http::status status, const char* type, TextPtr text, const char* allow = nullptr);
  void BeginWatch(const Feed::Update& update);
  void WriteChunk(std::string prefix, TextPtr text);
  void ContinueWrite();
  void OnWritten();
  void Linger();
  void DiscardInput();
  void OnReadable();

  Server* server_;  // null once the connection is closed
  net::Tcp::socket socket_;
  std::unique_ptr<RequestHead> request_head_;  // until the header of the call has been read
  Phase phase_ = Phase::kReadingHead;
  bool watch_requested_ = false;
  bool writing_ = false;            // a write is in progress; there is at most one at a time
  bool awaits_full_list_ = false;   // waits in the queue of Admission
  bool admitted_ = false;           // occupies one of the slots of Admission
  bool sending_full_list_ = false;  // the write in progress is the full list
  bool awaiting_input_ = false;
  // The position of the last update that was sent. Empty if the full list has to be sent next.
  std::optional<Feed::Position> position_;
  // The client's generation if it is higher than the relay's. Nothing is sent until the relay receives it.
  std::optional<std::int64_t> awaited_generation_;
  std::string prefix_;  // written before the text: an HTTP header or nothing
  TextPtr text_;
  std::array<net::asio::const_buffer, 4> buffers_;  // what the write in progress has not written yet
  Clock::time_point last_progress_at_;              // of the write in progress
  Clock::time_point write_started_at_;              // start of the write in progress
  std::size_t discarded_bytes_ = 0;                 // input after the call
};

}  // namespace merlinrun::relay

#endif  // MERLINRUN_RELAY_SESSION_HPP_
