// Starts a replica on a data folder that may be full, failing or damaged.
#include "Control/ReplicaStarter.h"

#include <algorithm>
#include <utility>

#include "Control/ReplicaCore.h"

namespace parsleycove {

namespace {

constexpr std::chrono::milliseconds kFirstPauseMs{ 100 };
// Also the longest time by which a disk that is good again goes unnoticed.
constexpr std::chrono::milliseconds kLongestPauseMs{ 2000 };

} // namespace

ReplicaStarter::ReplicaStarter(Files& aFiles,
                               ReplicaStart aStart,
                               std::function<std::uint64_t()> aDrawRandom)
  : m_files(aFiles)
  , m_start(std::move(aStart))
  , m_drawRandom(std::move(aDrawRandom))
{
  m_start.m_random = m_drawRandom();
}

ReplicaStartResult
ReplicaStarter::Try(std::uint64_t aUnixMs, const Opener& aOpen)
{
  m_aside.clear();
  m_pause = std::clamp<Duration>(2 * m_pause, kFirstPauseMs, kLongestPauseMs);
  StoreReason storeReason;
  const auto identity = ChooseIdentity(m_files, m_start, storeReason);
  if (!identity) {
    m_why = storeReason.m_text;
    return Judge(aUnixMs, ToServiceError(storeReason.m_code));
  }
  ControlServiceReason reason;
  if (aOpen(*identity, reason)) {
    return ReplicaStartResult::Started;
  }
  m_why = reason.m_text;
  return Judge(aUnixMs, reason.m_code);
}

ReplicaStartResult
ReplicaStarter::Judge(std::uint64_t aUnixMs, ControlServiceError aError)
{
  if (aError != ControlServiceError::StoreDamaged) {
    return aError == ControlServiceError::Store
             ? ReplicaStartResult::Retry
             : ReplicaStartResult::Impossible;
  }
  StoreReason reason;
  if (const auto aside =
        SetFolderAside(m_files, m_start.m_folder, aUnixMs, reason)) {
    m_aside = *aside;
    m_start.m_isFirstStart = false;
    m_start.m_random = m_drawRandom();
  } else {
    m_why += "; its files cannot be moved: " + reason.m_text;
  }
  return ReplicaStartResult::Retry;
}

} // namespace parsleycove
