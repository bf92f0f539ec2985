// Starts a replica on a data folder that may be full, failing or damaged.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "Base/Clock.h"
#include "Control/ReplicaIdentity.h"

namespace parsleycove {

enum class ReplicaStartResult
{
  Started,
  Retry,      // the disk, the VM or another process refused; call again
  Impossible, // trying again does not help; the folder is untouched
};

// Gives an identity up only for proved damage, and then keeps the files. Any
// other failure of the disk keeps folder and identity: what the disk refuses
// now, it may take later, and the group counts on what is stored here.
class ReplicaStarter
{
public:
  // Opens a replica under an identity; false with the reason.
  using Opener =
    std::function<bool(const ReplicaIdentity&, ControlServiceReason&)>;

  // aDrawRandom is called for each identity that may be needed.
  ReplicaStarter(Files& aFiles,
                 ReplicaStart aStart,
                 std::function<std::uint64_t()> aDrawRandom);

  ReplicaStartResult Try(std::uint64_t aUnixMs, const Opener& aOpen);

  // Why the last Try failed.
  const std::string& Why() const { return m_why; }
  // Name of the folder into which the last Try moved a damaged folder's files;
  // empty if it did not.
  const std::string& Aside() const { return m_aside; }
  // How long to wait before the next Try.
  Duration Pause() const { return m_pause; }

private:
  ReplicaStartResult Judge(std::uint64_t aUnixMs, ControlServiceError aError);

  Files& m_files;
  ReplicaStart m_start;
  std::function<std::uint64_t()> m_drawRandom;
  std::string m_why;
  std::string m_aside;
  Duration m_pause{};
};

} // namespace parsleycove
