// Tells which process holds the other end of a loopback connection.
#include "Soak/SoakPeers.h"

#include <charconv>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <string_view>
#include <system_error>

namespace parsleycove {

namespace {

// Parses the port of "0100007F:1F90".
unsigned
PortOf(std::string_view aAddress)
{
  unsigned port = 0;
  const auto digits = aAddress.substr(aAddress.find(':') + 1);
  std::from_chars(digits.data(), digits.data() + digits.size(), port, 16);
  return port;
}

} // namespace

std::uint64_t
FindSocket(std::uint16_t aPort, std::uint16_t aPeerPort)
{
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line); // the heading
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string number, local, remote, state, queues, timer, retries, user;
    std::string timeout;
    std::uint64_t inode = 0;
    fields >> number >> local >> remote >> state >> queues >> timer >>
      retries >> user >> timeout >> inode;
    if (PortOf(local) == aPort && PortOf(remote) == aPeerPort) {
      return inode;
    }
  }
  return 0;
}

bool
HoldsSocket(pid_t aProcess, std::uint64_t aSocket)
{
  if (aProcess == 0 || aSocket == 0) {
    return false;
  }
  const std::string wanted = "socket:[" + std::to_string(aSocket) + "]";
  std::error_code error;
  std::filesystem::directory_iterator files(
    "/proc/" + std::to_string(aProcess) + "/fd", error);
  for (; !error && files != std::filesystem::directory_iterator();
       files.increment(error)) {
    std::error_code unreadable;
    if (std::filesystem::read_symlink(files->path(), unreadable).string() ==
        wanted) {
      return true;
    }
  }
  return false;
}

} // namespace parsleycove
