// The sidecar: connects the application, the servers and discovery to the balancer. The Balancer takes every
// balancing decision; the Sidecar owns the requests, the timers and the clock.
#ifndef MERLINRUN_NET_SIDECAR_HPP_
#define MERLINRUN_NET_SIDECAR_HPP_

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_set>

#include "answer_log.hpp"
#include "budget.hpp"
#include "config.hpp"
#include "counters.hpp"
#include "discovery.hpp"
#include "graceful_shutdown.hpp"
#include "inbound.hpp"
#include "management.hpp"
#include "merlinrun/balancer.hpp"
#include "pending_requests.hpp"
#include "recent_requests.hpp"
#include "request_mapping.hpp"
#include "shared_dir.hpp"
#include "upstream.hpp"

namespace merlinrun::net {

// One sidecar process. Reports events (requests, outcomes, lists, timers) to the Balancer and carries out
// the actions that the Balancer requests through the ActionSink interface.
class Sidecar : private ActionSink {
 public:
  // Throws ConfigError if the settings are invalid; opens no socket.
  Sidecar(asio::io_context& io, Config config);
  ~Sidecar() override;
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;

  // Starts listening and following discovery. Throws boost::system::system_error if it cannot listen on the
  // configured address.
  void Start();
  // Switches to the discovery address of a new configuration; every other setting keeps its value from the
  // start. The current list stays in use until the new discovery has sent one.
  void Reload(const Config& config);
  // Begins a graceful shutdown (see GracefulShutdown), which calls `on_drained` at its end. A second call
  // does nothing.
  void Drain(std::function<void()> on_drained);

  Tcp::endpoint address() const { return inbound_->address(); }
  // The address of the management endpoint; all zeros if none is configured.
  Tcp::endpoint management_address() const {
    return management_ == nullptr ? Tcp::endpoint() : management_->address();
  }
  const Counters& counters() const { return counters_; }
  // Requests that have no answer yet or still have an attempt in flight.
  std::size_t pending_requests() const { return pending_requests_.size(); }
  // Connections of clients, idle ones included.
  std::size_t client_connections() const { return inbound_->sessions(); }
  // Memory reserved for buffered requests and answers, in bytes.
  std::size_t reserved_memory() const { return budget_.reserved(); }
  std::size_t upstream_connections() const { return upstream_.open_connections(); }

 private:
  // Actions requested by the Balancer (ActionSink).
  void Send(std::string_view request, const std::string& server, Micros timeout) override;
  void Cancel(std::string_view request, int attempt) override;
  void Refuse(std::string_view request, Micros retry_after) override;
  void Fail(std::string_view request) override;
  void SetTimer(Micros delay, std::uint64_t token) override;
  void Subscribe() override;
  void Log(std::string_view text) override;

  Micros Now() const;
  // The time of the steady clock as the Balancer counts it.
  Micros ToBalancerTime(std::chrono::steady_clock::time_point time) const;
  void OnList(ListUpdate::Kind kind, const EndpointList& list);
  void OnDiscoveryFailed(Micros within);
  // Reports to the Balancer from when on missed changes of the list take effect.
  void ReportListStaleness();
  void OnRequest(const Inbound::SessionPtr& session, Message<true> request);
  // The last byte of a request with a streamed body has been written: its deadline is fixed, and the timeout
  // of the attempt starts now.
  void OnRequestWritten(const std::string& id, int number);
  void OnClientDisconnected(const std::string& id);
  void OnUpstreamAnswer(const std::string& id, int attempt, UpstreamAnswer answer);
  // Marks an attempt as ended and reports its outcome to the Balancer, once.
  void FinishAttempt(const std::string& id, int attempt, Result result, const LoadReport& load = {});
  bool NeverRan(const PendingRequest& pending, std::size_t ending, Result result) const;
  bool Ready() const;
  std::string StatsJson();
  // Handles an operator's call that takes a server administratively down or up again.
  ManagementEndpoint::Reply OnAdminDownCall(const std::string& server, bool down);
  void SetAdminDown(const std::string& server, bool down);
  // A valid request was refused because there was no memory left to read it.
  void OnRefusedForMemory(const RequestHeader& header);
  // Answers an unanswered request with a response of the sidecar's own. The request may be freed.
  void Respond(const std::string& id, Counters::FinalStatus final_status, HttpResponse response);
  // Forwards a server's successful answer to the client of an unanswered request. The request may be freed.
  void ForwardAnswer(const std::string& id, UpstreamAnswer answer);
  // Sets the request's timer to its next deadline: the end of an attempt, or of the request itself.
  void ArmRequestTimer(const std::string& id, PendingRequest& pending);
  void OnRequestTimer(const std::string& id);
  // Moves the deadline of a request whose body is still being received: its time starts when the client may
  // have sent the last byte.
  void UpdateUploadDeadline(PendingRequest& pending) const;
  // Gives up the attempts of a request whose body could not be written in time. The request may be freed.
  void AbortUpload(const PendingRequest& pending);
  // Ends the attempts of a request that have expired. The request may be freed.
  void FinishExpiredAttempts(const std::string& id, Micros now);
  // Updates the header of an attempt whose connection has just been established. Returns false if the request
  // must not be written any more.
  bool PrepareSend(const std::string& id, int number, RequestHeader& header);
  static const char* NotSentReason(const PendingRequest& pending);
  std::optional<Rejection> Validate(const RequestHeader& request, int request_class) const;
  // When the final answer to a request is due whose last byte was sent at `complete_at`: within the time that
  // its client and its class allow, and before a shutdown fails what has no answer.
  Micros ComputeDeadline(const RequestHeader& request, std::size_t request_class, Micros complete_at) const;
  void ScheduleSharedDirPoll();
  // Reads the state that the processes of this sidecar share, applies it, and schedules the next poll.
  void PollSharedDir();
  void ShareRecentRequests();
  void ExpirePendingRequests();

  asio::io_context& io_;
  Config config_;
  SharedDir shared_dir_;
  const Micros clock_offset_;
  MemoryBudget budget_;  // declared before all members that reserve memory from it
  const RequestMapping request_mapping_;
  Counters counters_;
  std::unique_ptr<Balancer> balancer_;
  Upstream upstream_;
  Discovery discovery_;
  std::unique_ptr<Inbound> inbound_;
  std::unique_ptr<ManagementEndpoint> management_;
  PendingRequests pending_requests_;
  RecentRequests recent_requests_;
  bool sharing_failure_logged_ = false;
  std::unordered_set<std::string> ever_listed_;  // servers
  std::set<std::string> admin_down_;             // servers
  asio::steady_timer shared_dir_timer_;
  int shared_dir_polls_ = 0;
  bool other_process_alive_ = false;  // another process of this sidecar is running
  AnswerLog answer_log_;
  std::unique_ptr<GracefulShutdown> shutdown_;  // null until Drain is called
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_SIDECAR_HPP_
