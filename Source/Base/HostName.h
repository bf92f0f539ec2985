// Host names as requests and configurations write them.
#pragma once

#include <string>
#include <string_view>

namespace parsleycove {

// Returns the form in which hosts are compared: without a port and with small
// letters, since hosts are the same whatever their case. aHost is a Host header
// or the host of a route, such as "One.Example:8080" or "[FD00::1]:8080".
std::string
NormalizeHost(std::string_view aHost);

} // namespace parsleycove
