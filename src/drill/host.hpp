// Runs any number of simulated sidecars in one process: passes the simulator's lines to a Balancer for each
// sidecar and collects their actions as the reply.
#ifndef MERLINRUN_DRILL_HOST_HPP_
#define MERLINRUN_DRILL_HOST_HPP_

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "merlinrun/balancer.hpp"
#include "wire.hpp"

namespace merlinrun::drill {

// Interprets the line protocol. A batch of event lines gets one reply: the actions of all instances, one a
// line, and DONE.
class Host {
 public:
  Host();
  ~Host();
  // Handles one line, without its newline. Returns true if the line ended a batch: reply() is then complete.
  // Throws WireError, with the line number and the verb, if the line is malformed.
  bool HandleLine(std::string_view line);
  // The reply to the batch; valid until the next call of HandleLine.
  const std::string& reply() const { return reply_; }
  bool in_batch() const { return in_batch_; }

 private:
  class Instance;
  // A table is a list of servers: a TABLE line clears it, ROW lines fill it, and DISCOVERY lines refer to it.
  // The lines give its number in their field `page`, by which error texts name it too.
  static constexpr std::size_t kTables = 16;

  // A server as the protocol lists it. Each instance maps the names of zone and machine type to its own
  // indices.
  struct Row {
    ServerInfo info;
    std::string zone;
    std::string machine;
  };

  void DispatchEvent(std::string_view verb, Fields& fields);
  void AddRow(Fields& fields);
  void Provision(Fields& fields);
  void UpdateServers(Fields& fields);
  Instance& FindInstance(Fields& fields);
  static std::int64_t ParseInstanceNumber(Fields& fields);

  std::string reply_;
  std::uint64_t line_number_ = 0;
  Micros now_ = 0;
  bool has_clock_ = false;  // now_ has been set by a batch
  bool in_batch_ = false;
  std::array<std::vector<Row>, kTables> tables_;
  std::size_t table_ = 0;          // the table that ROW lines are added to
  std::int64_t missing_rows_ = 0;  // of that table
  // By number. Not iterated, as the order is unspecified.
  std::unordered_map<std::int64_t, std::unique_ptr<Instance>> instances_;
};

}  // namespace merlinrun::drill

#endif  // MERLINRUN_DRILL_HOST_HPP_
