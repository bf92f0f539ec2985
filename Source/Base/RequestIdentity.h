// Names requests so that one which comes again is recognized.
#pragma once

#include <string>
#include <string_view>

namespace parsleycove {

// What two equal requests of one caller have in common.
struct RequestContent
{
  std::string_view m_method;
  // Compared in the form of NormalizeHost().
  std::string_view m_host;
  // Path and query.
  std::string_view m_target;
  // Empty if the request belongs to no client account.
  std::string_view m_account;
  // Parts of the prompt, where they are not in the body; may be empty.
  std::string_view m_prompt;
  std::string_view m_body;
};

// Returns an id of the whole request, equal in all processes. It has the form
// of a part's id, and no id of a prompt part is equal to it.
std::string
IdentifyRequest(const RequestContent& aContent);

// Returns true for an id from IdentifyRequest().
bool
IsWholeRequest(std::string_view aPart);

} // namespace parsleycove
