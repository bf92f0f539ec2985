// Names of the header fields that belong to one connection only.
#pragma once

#include <string_view>
#include <vector>

#include "Wire/Http.h"

namespace parsleycove {

// The options of all Connection fields of one header, read once. Names are
// compared without regard to case. The fields must outlive the object.
class ConnectionOptions
{
public:
  explicit ConnectionOptions(const http::fields& aFields);

  bool Contains(std::string_view aName) const;

private:
  // In order and without repetitions: unlike a hash table, it costs the same
  // whatever names a peer chooses.
  std::vector<std::string_view> m_names;
};

} // namespace parsleycove
