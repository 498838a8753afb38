// The tunables of the balancer, each with its unit and with what goes wrong at other values.
//
// "Latency ratio" is the time of an answer over the latency target of its class. "Admission" is the share of
// the arriving work that is admitted. A memory is the number of samples that a fading mean averages over.
#ifndef MERLINRUN_TUNABLES_HPP_
#define MERLINRUN_TUNABLES_HPP_

#include <cstddef>
#include <cstdint>

#include "merlinrun/balancer.hpp"

namespace merlinrun {

inline constexpr Micros kMillisecond = 1000;
inline constexpr Micros kSecond = 1000 * kMillisecond;

// ---- The window and the retries of a request ----

// The minimum size of the window, in servers. Small, so that each server has connections from few sidecars,
// but large enough to leave a choice.
inline constexpr std::size_t kMinWindowServers = 3;
// The window of a busy sidecar is larger: this many servers per attempt of its recent peak in flight.
inline constexpr double kWindowServersPerInFlight = 0.25;
// The same where open connections cost nothing.
inline constexpr double kWindowServersPerInFlightAtNoCost = 1;
// The delay before attempt n+1 is random(0, min(cap, base * 2^n)).
inline constexpr Micros kRetryBase = 100 * kMillisecond;
inline constexpr Micros kRetryCap = 30 * kSecond;
// The maximum number of attempts of a request; the deployment may set a lower limit.
inline constexpr int kMaxAttempts = 5;
// Random draws from the window before it is searched from end to end. Bounds the work of a usual choice.
inline constexpr int kMaxDraws = 8;

// ---- Admission ----

// The target for the latency ratio of the work with the highest value per unit. It is far below 1, as the
// queues of overloaded servers fill before answers miss their latency target.
inline constexpr double kLatencyRatioTarget = 0.27;
// The same where servers report their load. Whether they do is the only setting that separates the
// deployments that lose value by refusing too early from those whose servers become overloaded.
inline constexpr double kLatencyRatioTargetWithReports = 0.45;
// With load reports, the target is also at most this much above the latency ratio of unloaded servers:
// servers with many cores answer fast when unloaded, and a queue shows at a low ratio there.
inline constexpr double kUnloadedRatioMargin = 0.22;
// Each outcome changes the admission by this much times the difference between the target and its latency
// ratio.
inline constexpr double kAdmissionStep = 0.2;
// A server whose last report shows a CPU utilisation below this is not overloaded, however late it answers.
// Values from 0.4 to 0.8 give the same results within noise when nearly all servers are busy.
inline constexpr double kBusyCpuShare = 0.8;
// With more attempts in flight than this, each outcome counts less, so that the admission changes as much
// within the time of one answer as it does in sidecars with fewer. Otherwise hundreds of outcomes a second
// swing it from one limit to the other before servers can react.
inline constexpr double kHighInFlight = 24;
// The latency ratio that a refused or timed-out attempt counts as; longer answers count no higher.
inline constexpr double kMaxLatencyRatio = 1.5;
// The n-th late outcome in a row counts n times, up to this many. A single one may be expensive work or a
// fault of one server; several are an overload of all servers, which breaks them within seconds.
inline constexpr double kMaxLateFactor = 4;
// The target is at least this multiple of the lowest mean latency ratio seen, the mean being taken over
// kLatencyRatioMemory answers. Without it, cheap work is constantly refused where even unloaded servers use
// a good part of the latency target.
inline constexpr double kUnloadedRatioFactor = 1.6;
// The same factor, and the target, for a sidecar with many attempts in flight; they apply gradually between
// kBusyStartInFlight and kBusyFullInFlight attempts. Such a sidecar learns of an overload within a fraction
// of a second, where others wait seconds for the next answer, so it need not refuse work in advance: with the
// values for other sidecars, one with 300 requests a second and a usual latency ratio of 0.25 constantly
// refused a tenth of the cheap work. With a start at 4 or 20 attempts more servers of large fleets become
// overloaded; a factor of 2.4 with a target of 0.45 overloaded the remaining servers when half of them
// drained at once.
inline constexpr double kUnloadedRatioFactorBusy = 2.0;
inline constexpr double kLatencyRatioTargetBusy = 0.34;
inline constexpr double kBusyStartInFlight = 32;
inline constexpr double kBusyFullInFlight = 48;
// Answers over which the mean latency ratio is taken.
inline constexpr double kLatencyRatioMemory = 30;
// A sidecar with usually kHighInFlight or more attempts in flight also has a concurrency limit. From
// kConcurrencyLimitStart times its usual number of attempts in flight per server it admits less, down to
// kMinAdmission at kConcurrencyLimitFull. Where the usual number is just kHighInFlight, chance alone varies
// it by twice its square root: up to 1.4 times the usual number is no overload.
inline constexpr double kConcurrencyLimitStart = 1.4;
inline constexpr double kConcurrencyLimitFull = 2.0;
// Answers over which the usual number of attempts in flight is averaged, and after which the limit is used.
// With a memory of 1,000, an overload of ten seconds, during which the admission oscillates, raised the
// learned number by a third.
inline constexpr double kInFlightMemory = 5000;
inline constexpr double kInFlightMinSamples = 500;
// Below this admission each good answer counts as much as at this admission, and no more. Overloaded servers
// recover only if they get little work for seconds, and a single fast answer must not end that.
inline constexpr double kMinRecoveryAdmission = 0.15;
// Some work is always admitted, as its outcomes are the only way to notice the end of an overload.
inline constexpr double kMinAdmission = 0.05;
// Good answers raise the admission up to this level, so that a single bad answer causes no refusals.
inline constexpr double kMaxAdmission = 1.5;
// Arrivals over which the mix of classes is averaged, and answers over which the usual answer time is.
inline constexpr double kArrivalMemory = 100;

// ---- Server statistics ----

// Answers over which the relative latency of a server is averaged.
inline constexpr double kServerLatencyMemory = 8;
// The same for a sidecar with kHighInFlight or more attempts in flight, whose servers answer many times a
// second. Over 8 answers the figures of healthy servers ranged from 0.4 to 2 by chance, and so did their
// shares of the work.
inline constexpr double kServerLatencyMemoryBusy = 32;
// An answer counts at most as this multiple of the usual answer time.
inline constexpr double kMaxServerLatencyFactor = 4;
// The relative latency of a server's machine type weighs as much as this many of the server's own answers.
inline constexpr double kMachineLatencyWeight = 3;
// Answers of a class after which its answer time is known well enough to call work infeasible.
inline constexpr double kInfeasibleMinAnswers = 10;
// Listed weights, and the relative latencies that they are divided by, count as at least this much:
// these latencies and the sum of the weights in a window are used as divisors and must not be 0.
inline constexpr double kMinWeight = 0.01;
// The minimum relative work of a request, as a multiple of what is usual for its class.
inline constexpr double kMinRelativeWork = 0.05;
// The answers of a server are, on average, as far apart as one answer time divided by its attempts in flight.
// By chance, a gap of kSilenceFactor times that occurs once in fifty. A longer one raises the load score of
// the server, so that it is chosen less often.
inline constexpr double kSilenceFactor = 4;
// A server that fails to connect, resets, times out or misses a latency target is ejected for random(0,
// min(kRetryCap, base * 2^n)), n being the number of such events in a row: the same backoff as for requests.
inline constexpr Micros kEjectionBase = 500 * kMillisecond;
// From this share of refused requests on, a server counts as refusing a class.
inline constexpr double kMinRefusalShare = 0.1;
// Outcomes over which a server's refusals of a class are averaged: a refusal counts within kRefusalMemory,
// and fades over kSuccessMemory successes.
inline constexpr double kRefusalMemory = 3;
inline constexpr double kSuccessMemory = 10;
// The maximum share of requests for which a server is skipped, so that an occasional attempt notices the
// recovery.
inline constexpr double kMaxSkipShare = 0.95;
// The same as kRefusalMemory, for a server's failures (errors and attempts without an answer) of a class.
// Longer than for refusals, as one answer in a thousand is an error on any server: a single one must
// not count for much.
inline constexpr double kFailureMemory = 4;
// At most this share of the window is ejected at once: a slowdown of all servers must not empty the window.
inline constexpr double kMaxEjectedShare = 0.5;
// From this cost of cross-zone requests on, servers of other zones get only the work that the own zone cannot
// serve. Below it, a choice among all servers gains more than the cross-zone requests cost.
inline constexpr double kMinCrossZoneCost = 0.05;
// Samples, of a second or more each, over which the usual rate of served requests is averaged.
inline constexpr double kServedRateMemory = 10;

// ---- Discovery ----

// The next Subscribe after a failure comes after random(0, min(ask_within, base * 2^n)). The base is also the
// maximum delay of the first one of a sidecar that starts with no server.
inline constexpr Micros kSubscribeRetryBase = kSecond;
// The base grows with the number of sidecars, as they all lose discovery at the same time and it answers one
// call after the other: this is the initial rate of a fleet's retries, in calls per second.
inline constexpr std::int64_t kSubscribesPerSecond = 8;
// Up to this many changed servers are moved on the ring one by one. With more, one pass over all servers
// costs less than shifting the rest of the ring for each. Both costs grow in proportion to the list, so this
// holds at any size.
inline constexpr std::size_t kMaxIncrementalChanges = 100;

}  // namespace merlinrun

#endif  // MERLINRUN_TUNABLES_HPP_
