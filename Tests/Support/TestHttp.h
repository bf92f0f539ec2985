// Blocking HTTP calls of tests.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace parsleycove {

struct TestHeader
{
  std::string m_name;
  std::string m_value;
};

struct TestResponse
{
  // 0: the connection ended without an answer.
  unsigned m_status = 0;
  std::string m_body;
  std::vector<TestHeader> m_headers;

  std::string Header(const std::string& aName) const;
};

// Sends one request to a port of this machine over a new connection.
TestResponse
SendHttp(std::uint16_t aPort,
         const std::string& aMethod,
         const std::string& aTarget,
         const std::vector<TestHeader>& aHeaders,
         const std::string& aBody);

// Sends these bytes as they are and returns what comes back.
TestResponse
SendRaw(std::uint16_t aPort, const std::string& aBytes);

} // namespace parsleycove
