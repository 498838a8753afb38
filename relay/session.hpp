// One connection to a relay, from its call to its end: a call that is answered once, or a watch.
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

class Session : public ListTaker, public std::enable_shared_from_this<Session> {
 public:
  using Clock = std::chrono::steady_clock;
  using Ptr = std::shared_ptr<Session>;

  enum class Phase { kHead, kWaiting, kAnswering, kLingering, kWatching, kOver };

  // The place of a session in the server's wheel.
  struct Place {
    std::size_t slot = 0;
    std::list<Ptr>::iterator at;
  };

  Session(Server& owner, net::Tcp::socket socket);
  ~Session() override;

  void Start();
  // To be told what is new. Does nothing unless it is a watch that can be written to.
  void Tell();
  // Every two seconds: a blank line, or the end of a peer that takes nothing.
  void Tick();
  void Close();
  // Closes without a word to the owner, which lets go of this one.
  void Abandon();

  Phase phase() const { return phase_; }

  bool WantsList() const override { return waits_; }
  void OnAdmitted() override;
  void OnRefused() override;

  Place place;  // the server's

 private:
  struct Head;

  void OnHead(net::ErrorCode error);
  void Answer();
  void AnswerEndpoints(std::string_view query);
  void Settle(bool late);
  void Next();
  void Refuse(net::http::status status, const char* text, const char* allow = nullptr);
  void AnswerWith(net::http::status status, const char* type, TextPtr text, const char* allow = nullptr);
  void BeginWatch(const Feed::Told& told);
  void WriteChunk(std::string head, TextPtr text);
  void Push();
  void OnWritten();
  void Linger();
  void Discard();
  void OnReadable();

  Server* owner_;  // null once it is over
  net::Tcp::socket socket_;
  std::unique_ptr<Head> head_;  // until the call is read
  Phase phase_ = Phase::kHead;
  bool wants_watch_ = false;
  bool writing_ = false;      // one write at a time
  bool waits_ = false;        // for the whole list
  bool holds_slot_ = false;   // for it
  bool sends_whole_ = false;  // in that slot
  bool reads_ = false;
  // What it has been told; empty if only the whole list can be told next.
  std::optional<Feed::Position> position_;
  // It knows a later generation than this relay does, which waits to hear of it.
  std::optional<std::int64_t> ahead_;
  std::string lead_;  // what is written before the text, and the text
  TextPtr text_;
  std::array<net::asio::const_buffer, 4> out_;
  Clock::time_point progress_;  // of the write
  Clock::time_point began_;     // the write
  std::size_t discarded_ = 0;   // what the peer says after its call
};

}  // namespace merlinrun::relay

#endif  // MERLINRUN_RELAY_SESSION_HPP_
