// Reads the fields of one JSON object and notes the first fault.
#include "State/JsonFields.h"

#include <algorithm>
#include <utility>

#include <boost/json/array.hpp>

namespace parsleycove {

JsonFields::JsonFields(const boost::json::value& aValue,
                       std::string aPath,
                       StateReason& aReason)
  : m_object(aValue.if_object())
  , m_path(std::move(aPath))
  , m_reason(aReason)
{
  if (m_object == nullptr && IsGood()) {
    m_reason.Set(StateError::Malformed,
                 (m_path.empty() ? "body" : m_path) + ": expected an object");
  }
}

void
JsonFields::ReadText(std::string_view aName, std::string& aTarget)
{
  const boost::json::value* value = Take(aName);
  if (value == nullptr) {
    return;
  }
  if (const auto* text = value->if_string()) {
    aTarget.assign(text->data(), text->size());
  } else {
    Refuse(aName, "a string");
  }
}

void
JsonFields::ReadTexts(std::string_view aName, std::vector<std::string>& aTarget)
{
  const boost::json::value* value = Take(aName);
  if (value == nullptr) {
    return;
  }
  const auto* list = value->if_array();
  if (list == nullptr) {
    Refuse(aName, "a list of strings");
    return;
  }
  for (const boost::json::value& entry : *list) {
    const auto* text = entry.if_string();
    if (text == nullptr) {
      Refuse(aName, "a list of strings");
      return;
    }
    aTarget.emplace_back(text->data(), text->size());
  }
}

void
JsonFields::ReadFlag(std::string_view aName, bool& aTarget)
{
  const boost::json::value* value = Take(aName);
  if (value == nullptr) {
    return;
  }
  if (const bool* flag = value->if_bool()) {
    aTarget = *flag;
  } else {
    Refuse(aName, "true or false");
  }
}

const boost::json::value*
JsonFields::Take(std::string_view aName)
{
  if (!IsGood()) {
    return nullptr;
  }
  m_taken.push_back(aName);
  return m_object->if_contains(aName);
}

void
JsonFields::Require(std::string_view aName)
{
  if (IsGood() && m_object->if_contains(aName) == nullptr) {
    m_reason.Set(StateError::Malformed,
                 PathOf(aName) + ": missing, expected a value");
  }
}

bool
JsonFields::Finish()
{
  if (!IsGood()) {
    return false;
  }
  for (const auto& field : *m_object) {
    const std::string_view name(field.key().data(), field.key().size());
    if (std::find(m_taken.begin(), m_taken.end(), name) == m_taken.end()) {
      m_reason.Set(StateError::Malformed, PathOf(name) + ": unknown field");
      return false;
    }
  }
  return true;
}

void
JsonFields::Refuse(std::string_view aName, const std::string& aExpected)
{
  if (IsGood()) {
    m_reason.Set(StateError::Malformed,
                 PathOf(aName) + ": expected " + aExpected);
  }
}

std::string
JsonFields::PathOf(std::string_view aName) const
{
  const std::string name(aName);
  return m_path.empty() ? name : m_path + '.' + name;
}

void
JsonFields::ReadUnsigned(std::string_view aName,
                         std::uint64_t aMost,
                         std::uint64_t& aTarget)
{
  const boost::json::value* value = Take(aName);
  if (value == nullptr) {
    return;
  }
  std::uint64_t number = 0;
  if (const auto* whole = value->if_int64(); whole != nullptr && *whole >= 0) {
    number = static_cast<std::uint64_t>(*whole);
  } else if (const auto* large = value->if_uint64()) {
    number = *large;
  } else {
    Refuse(aName, "an integer from 0 to " + std::to_string(aMost));
    return;
  }
  if (number > aMost) {
    Refuse(aName, "an integer from 0 to " + std::to_string(aMost));
    return;
  }
  aTarget = number;
}

} // namespace parsleycove
