// What the kernel tells about a process under test.
#include "Crowd/ProcessGauges.h"

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <system_error>

#include <arpa/inet.h>

namespace parsleycove {

namespace {

// State ESTABLISHED in the kernel's table.
constexpr char kEstablished[] = "01";

std::string
FolderOf(pid_t aProcess)
{
  return "/proc/" + std::to_string(aProcess);
}

} // namespace

std::size_t
PeakMemoryBytes(pid_t aProcess)
{
  constexpr std::size_t kKib = 1024;
  std::ifstream status(FolderOf(aProcess) + "/status");
  std::string name;
  std::size_t value = 0;
  for (std::string line; std::getline(status, line);) {
    std::istringstream fields(line);
    if (fields >> name >> value && name == "VmHWM:") {
      return value * kKib;
    }
  }
  return 0;
}

std::size_t
OpenDescriptors(pid_t aProcess)
{
  std::error_code error;
  const std::filesystem::directory_iterator files(FolderOf(aProcess) + "/fd",
                                                  error);
  return error ? 0
               : static_cast<std::size_t>(std::distance(
                   begin(files), std::filesystem::directory_iterator()));
}

bool
HasUnreadBytes(const SocketAddress& aLocal)
{
  char local[sizeof("00000000:0000")];
  std::snprintf(local,
                sizeof(local),
                "%08X:%04X",
                inet_addr(aLocal.m_address.c_str()),
                static_cast<unsigned>(aLocal.m_port));
  std::ifstream table("/proc/net/tcp");
  std::string number, address, peer, state, queues;
  for (std::string line; std::getline(table, line);) {
    std::istringstream fields(line);
    fields >> number >> address >> peer >> state >> queues;
    if (address == local && state == kEstablished &&
        !queues.ends_with(":00000000")) {
      return true;
    }
  }
  return false;
}

} // namespace parsleycove
