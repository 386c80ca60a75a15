#include "verdicts.h"

#include <algorithm>
#include <cstddef>
#include <map>

namespace magnolia::bench {

namespace {

constexpr double AddedLatencyBoundMs = 0.65;

std::uint32_t runsOf(const RunCounts &Runs, const std::string &Token) {
  const auto Found = Runs.find(Token);
  return Found == Runs.end() ? 0 : Found->second;
}

// Short name of the call's outcome, for the breakdown of a run.
std::string kindOf(const CallResult &Result) {
  switch (Result.End) {
  case CallEnd::NotSent:
    return "not_sent";
  case CallEnd::Broken:
    return "broken";
  case CallEnd::Answered:
  case CallEnd::Rejected:
    break;
  }
  return std::to_string(Result.Status) +
         (Result.Error.empty() ? "" : '_' + Result.Error);
}

std::vector<double> samples(std::span<const CallResult> Results,
                            RequestPath Via, double CallResult::*Value) {
  std::vector<double> Samples;
  for (const auto &Result : Results) {
    if (Result.Planned.Via == Via && Result.End == CallEnd::Answered) {
      Samples.push_back(Result.*Value);
    }
  }
  return Samples;
}

// Wall-clock time of the version's first faulty response to a caller, or of its
// first faulty run if no caller got one.
std::int64_t firstFault(std::span<const CallResult> Results,
                        std::span<const BackendRecord> Records,
                        const std::string &Service,
                        const std::string &Version) {
  std::int64_t First = 0;
  const auto Earlier = [&First](std::int64_t Time) {
    if (Time != 0 && (First == 0 || Time < First)) {
      First = Time;
    }
  };
  for (const auto &Result : Results) {
    if (Result.Planned.Service == Service && Result.Version == Version &&
        Result.Status >= 500) {
      Earlier(Result.EndWallMs);
    }
  }
  if (First == 0) {
    for (const auto &Record : Records) {
      if (Record.Service == Service && Record.Version == Version) {
        Earlier(Record.FirstFaultMs);
      }
    }
  }
  return First;
}

} // namespace

RunCounts mergeRuns(std::span<const BackendRecord> Records) {
  RunCounts Merged;
  for (const auto &Record : Records) {
    for (const auto &[Token, Count] : Record.Runs) {
      Merged[Token] += Count;
    }
  }
  return Merged;
}

std::vector<Measure> judgeCalls(std::span<const CallResult> Results,
                                const RunCounts &Runs) {
  double Calls = 0;
  double Unmatched = 0;
  double MostRuns = 0;
  double FalseNotRun = 0;
  std::map<std::string, double> Kinds;
  double AnsweredNotRun = 0;
  double NotRun = 0;
  for (const auto &Result : Results) {
    if (Result.Planned.Via != RequestPath::System) {
      continue;
    }
    ++Calls;
    ++Kinds[kindOf(Result)];
    const auto Count = runsOf(Runs, Result.Planned.Token);
    const bool SaysNotRun = Result.Run == "no";
    Unmatched += Result.End == CallEnd::Answered && !Result.Matched ? 1 : 0;
    NotRun += SaysNotRun ? 1 : 0;
    FalseNotRun += SaysNotRun && Count > 0 ? 1 : 0;
    AnsweredNotRun += Result.End == CallEnd::Answered && Count == 0 ? 1 : 0;
    if (!Result.Planned.Idempotent) {
      MostRuns = std::max(MostRuns, static_cast<double>(Count));
    }
  }
  std::vector<Measure> Measures;
  Measures.reserve(Kinds.size());
  for (const auto &[Kind, Number] : Kinds) {
    Measures.push_back(figure("calls_" + Kind, Number));
  }
  const std::vector<Measure> Checked = {
      figure("calls", Calls),
      figure("not_run_answers_checked", NotRun),
      atMost("responses_not_whole_or_not_matched", Unmatched, 0),
      atMost("responses_without_a_run", AnsweredNotRun, 0),
      atMost("non_idempotent_runs_max", MostRuns, 1),
      atMost("not_run_answers_that_ran", FalseNotRun, 0),
  };
  Measures.insert(Measures.end(), Checked.begin(), Checked.end());
  return Measures;
}

std::vector<Measure> judgeRecords(std::span<const BackendRecord> Records) {
  double Overloads = 0;
  double Repeated = 0;
  double Unrecorded = 0;
  std::vector<Measure> Measures;
  Measures.reserve(Records.size() + 3);
  for (std::size_t Index = 0; Index < Records.size(); ++Index) {
    const auto &Record = Records[Index];
    const auto Own = static_cast<double>(Record.Overloads);
    if (Own > 0) {
      Measures.push_back(figure("overloads_of_server_" +
                                    std::to_string(Index + 1) + "_" +
                                    Record.Service,
                                Own));
    }
    Overloads += Own;
    Repeated += static_cast<double>(Record.RepeatedIds);
    Unrecorded += static_cast<double>(Record.Unrecorded);
  }
  Measures.push_back(atMost("overloads", Overloads, 0));
  Measures.push_back(figure("request_ids_with_several_runs", Repeated));
  Measures.push_back(atMost("runs_without_record", Unrecorded, 0));
  return Measures;
}

std::vector<Measure> judgeLatency(std::span<const CallResult> Results) {
  const auto Own =
      samples(Results, RequestPath::System, &CallResult::OverheadMs);
  const auto Direct =
      samples(Results, RequestPath::Direct, &CallResult::OverheadMs);
  const auto Floor =
      samples(Results, RequestPath::Relays, &CallResult::OverheadMs);
  const auto Added = [&Direct](const std::vector<double> &Samples,
                               double Share) {
    return percentile(Samples, Share) - percentile(Direct, Share);
  };
  // If direct calls alone vary by more than the bound, the machine is too busy
  // for a meaningful result.
  const double Spread = percentile(Direct, 0.99) - percentile(Direct, 0.5);
  return {
      figure("latency_samples", static_cast<double>(Own.size())),
      figure("direct_samples", static_cast<double>(Direct.size())),
      figure("direct_p50_ms", percentile(Direct, 0.5)),
      figure("direct_p99_ms", percentile(Direct, 0.99)),
      required("direct_spread_ms", Spread, Spread <= AddedLatencyBoundMs),
      figure("added_latency_floor_p50_ms", Added(Floor, 0.5)),
      figure("added_latency_floor_p99_ms", Added(Floor, 0.99)),
      figure("added_latency_p50_ms", Added(Own, 0.5)),
      figure("added_latency_p99_over_direct_p50_ms",
             percentile(Own, 0.99) - percentile(Direct, 0.5)),
      atMost("added_latency_p99_ms", Added(Own, 0.99), AddedLatencyBoundMs),
  };
}

std::vector<Measure> judgeTail(std::span<const CallResult> Results,
                               const std::string &Service) {
  std::vector<double> Own;
  std::vector<double> RoundRobin;
  for (const auto &Result : Results) {
    if (Result.Planned.Service != Service || Result.End != CallEnd::Answered) {
      continue;
    }
    if (Result.Planned.Via == RequestPath::System) {
      Own.push_back(Result.LatencyMs);
    } else if (Result.Planned.Via == RequestPath::RoundRobin) {
      RoundRobin.push_back(Result.LatencyMs);
    }
  }
  const double OwnTail = percentile(Own, 0.99);
  const double OtherTail = percentile(RoundRobin, 0.99);
  return {figure("slow_p99_ms", OwnTail),
          figure("slow_round_robin_p99_ms", OtherTail),
          atMost("slow_p99_over_round_robin_p99", OwnTail / OtherTail, 0.5)};
}

std::vector<Measure> judgeBadVersion(std::span<const CallResult> Results,
                                     std::span<const BackendRecord> Records,
                                     const std::string &Service,
                                     const std::string &Version) {
  double Total = 0;
  double Bad = 0;
  std::int64_t Last = 0;
  for (const auto &Record : Records) {
    if (Record.Service != Service) {
      continue;
    }
    Total += static_cast<double>(Record.Requests);
    if (Record.Version == Version) {
      Bad += static_cast<double>(Record.Requests);
      Last = std::max(Last, Record.LastRequestMs);
    }
  }
  const auto First = firstFault(Results, Records, Service, Version);
  const double Seconds =
      First == 0 ? 0 : static_cast<double>(Last - First) / 1000.0;
  return {figure("bad_version_requests", Bad),
          required("bad_version_fault_seen", First == 0 ? 0 : 1, First != 0),
          atMost("bad_version_share", Total > 0 ? Bad / Total : 0, 0.05),
          atMost("bad_version_last_work_after_fault_s", Seconds, 2)};
}

} // namespace magnolia::bench
