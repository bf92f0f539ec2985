// Rules of the table of parts of requests that may crash endpoints: pieces of
// prompts, and requests as a whole.
//
// Time is the commands' own, which the leader stamps: replicas and the copies
// of the gateways apply the same commands and have to get equal tables.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "StateGenerated.h"

namespace parsleycove {

// Crashes of distinct endpoint incarnations and of distinct attempts that put a
// part under quarantine.
inline constexpr std::size_t kCrashesToQuarantine = 3;
// Distinct attempts among the crashes of a whole request: all its attempts hold
// the same, so that fewer of them show as much.
inline constexpr std::size_t kAttemptsToQuarantineRequest = 2;
// Older crashes of a part that is not quarantined are dropped.
inline constexpr std::uint64_t kCrashEvidenceMs = 60'000;
// For this long after a clear, reports add nothing to the part.
inline constexpr std::uint64_t kClearHoldMs = 30'000;
// From the start of the quarantine to the first trial, from there to the second
// one, and between all further ones.
inline constexpr std::uint64_t kFirstTrialDelayMs = 10'000;
inline constexpr std::uint64_t kSecondTrialDelayMs = 60'000;
inline constexpr std::uint64_t kTrialDelayMs = 3'600'000;
// Pieces of prompts, and as many requests as a whole.
inline constexpr std::size_t kMaxPromptParts = 64;
inline constexpr std::size_t kMaxCrashesPerPart = 8;

// Each sets code and text of aResult, and changes aImage only if the code is
// Ok. Commands over the limits of PromptPartChecks.h are Invalid.
//
// Adds the crash to the parts of the suspects, or returns Duplicate when none
// of them gets it. A crash of a request that holds a quarantined piece of a
// prompt, or that is listed at one, is evidence for no other part; one of a
// quarantined request is evidence for no other request.
void
ApplyPromptCrash(state::ConfigImageT& aImage,
                 const state::ReportPromptCrashT& aCommand,
                 state::CommandResultT& aResult);
// Duplicate when no listed part has crashes, NotFound when no part is listed.
void
ApplyClearPromptParts(state::ConfigImageT& aImage,
                      const state::ClearPromptPartsT& aCommand,
                      state::CommandResultT& aResult);
// Grants a trial of the part and of all parts tied to it. Duplicate before the
// trial is due, NotFound when the part is not quarantined.
void
ApplyTryPromptPart(state::ConfigImageT& aImage,
                   const state::TryPromptPartT& aCommand,
                   state::CommandResultT& aResult);

// True for the three commands above.
bool
IsPromptPartCommand(const state::CommandT& aCommand);
// Applies one of the three commands; others are Invalid.
state::CommandResultT
ApplyPromptPartCommand(state::ConfigImageT& aImage,
                       const state::CommandT& aCommand);
// An image that holds only the table.
state::ConfigImageT
CopyPromptParts(const state::ConfigImageT& aImage);
// Whether one of the three commands would change the table; false for others.
bool
WouldChange(const state::ConfigImageT& aImage, const state::CommandT& aCommand);

bool
IsQuarantined(const state::PromptPartT& aPart);
// Unix time in ms from which on the next trial may be granted, 0 when the part
// is not quarantined.
std::uint64_t
NextTrialUnixMs(const state::PromptPartT& aPart);
// The quarantined parts with exactly the crashes of this quarantined part, in
// order of their ids and with the part itself. Empty when it is not
// quarantined.
std::vector<const state::PromptPartT*>
FindTied(const state::ConfigImageT& aImage, const state::PromptPartT& aPart);

// True when all crashes of each part have distinct endpoints and quarantined
// parts have crashes; for decoded images.
bool
HasSoundPromptParts(const state::ConfigImageT& aImage);

} // namespace parsleycove
