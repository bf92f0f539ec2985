// Decides what a replica does to stay a member of its group, from the answers
// to its calls.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "FeedGenerated.h"
#include "State/ControlPort.h"

namespace parsleycove {

// What follows an answer.
struct MembershipStep
{
  // Whether to ask to be added now. Otherwise the members are read again after
  // m_wait.
  bool m_joins = false;
  std::chrono::milliseconds m_wait{ 0 };
  std::string m_fault; // empty if there is none
};

class MembershipCheck
{
public:
  explicit MembershipCheck(std::uint64_t aSelf)
    : m_self(aSelf)
  {
  }

  // aStatus is nullptr if the call failed, for the reason aReason.
  MembershipStep OnStatus(const feed::StatusReplyT* aStatus,
                          const ControlReason& aReason) const;
  // The answer to a request to be added; aReply is nullptr if the call failed.
  MembershipStep OnJoinReply(const feed::AdminReplyT* aReply,
                             const ControlReason& aReason) const;

private:
  const std::uint64_t m_self;
};

} // namespace parsleycove
