// What became of one request.
#pragma once

#include <chrono>
#include <vector>

namespace parsleycove::load {

enum class Verdict
{
  Right,   // the right answer, whole
  Wrong,   // another answer than the right one
  Refused, // 429 or 503, or told not run
  Unknown, // told that the outcome is unknown, or no answer
};

// Times count from the scheduled arrival, so that waiting is not left out.
struct Outcome
{
  Verdict m_verdict = Verdict::Unknown;
  bool m_toldNotRun = false;
  std::chrono::nanoseconds m_end{ 0 };
  std::chrono::nanoseconds m_firstToken{ 0 };
  std::vector<std::chrono::nanoseconds> m_intervals; // between tokens
};

} // namespace parsleycove::load
