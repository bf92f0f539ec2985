// A deterministic integer model that stands in for a language model.
#include "Support/ToyModel.h"

#include <array>
#include <cctype>

namespace parsleycove::toy {

namespace {

constexpr std::uint64_t kHiddenMask = (1ULL << 48) - 1;
constexpr std::uint64_t kEndTokenOneIn = 64;
constexpr TokenId kPromptVocabulary = 50'000;
constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;

constexpr std::array<std::string_view, 32> kWords{
  "ice",    "convoy", "berth", "window",  "escort", "north", "lead",  "ridge",
  "floe",   "tug",    "pilot", "drift",   "chart",  "hull",  "wind",  "open",
  "closed", "slot",   "offer", "price",   "kiosk",  "rent",  "stock", "order",
  "paid",   "due",    "renew", "licence", "answer", "today", "noon",  "harbour"
};

std::uint64_t
Mix(std::uint64_t aLeft, std::uint64_t aRight)
{
  std::uint64_t value = (aLeft ^ (aRight + 0x9e3779b97f4a7c15ULL)) + aLeft * 31;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

TokenId
HashWord(std::string_view aWord)
{
  std::uint64_t hash = kFnvOffset;
  for (const char letter : aWord) {
    hash = (hash ^ static_cast<unsigned char>(letter)) * kFnvPrime;
  }
  return 1 + static_cast<TokenId>(hash % kPromptVocabulary);
}

bool
IsSpace(char aLetter)
{
  return std::isspace(static_cast<unsigned char>(aLetter)) != 0;
}

} // namespace

std::vector<TokenId>
Tokenize(std::string_view aText)
{
  std::vector<TokenId> tokens;
  std::size_t place = 0;
  while (place < aText.size()) {
    if (IsSpace(aText[place])) {
      ++place;
      continue;
    }
    const std::size_t first = place;
    while (place < aText.size() && !IsSpace(aText[place])) {
      ++place;
    }
    tokens.push_back(HashWord(aText.substr(first, place - first)));
  }
  return tokens;
}

Hidden
RunLayer(std::uint32_t aLayer,
         std::uint64_t aPosition,
         Hidden aInput,
         Accumulator& aAccumulator)
{
  const std::uint64_t place = Mix(aLayer + 1, aPosition);
  const std::uint64_t output = Mix(Mix(place, aInput), aAccumulator);
  aAccumulator = Mix(aAccumulator, aInput);
  return output & kHiddenMask;
}

Token
PickToken(Hidden aOutput, std::uint64_t aPosition, std::uint64_t aSeed)
{
  const std::uint64_t choice = Mix(Mix(aOutput, aPosition), aSeed);
  if (choice % kEndTokenOneIn == 0) {
    return { 0, "", true };
  }
  const std::size_t word = (choice >> 16) % kWords.size();
  return { static_cast<TokenId>(word + 1),
           std::string(kWords.at(word)) + ' ',
           false };
}

std::vector<Token>
GenerateTokens(std::string_view aPrompt,
               std::uint32_t aLayers,
               std::uint64_t aSeed,
               std::uint32_t aMaxTokens)
{
  std::vector<Accumulator> accumulators(aLayers, 0);
  std::vector<TokenId> inputs = Tokenize(aPrompt);
  std::vector<Token> tokens;
  std::uint64_t position = 0;
  while (!inputs.empty() && tokens.size() < aMaxTokens) {
    Hidden hidden = 0;
    for (const TokenId input : inputs) {
      hidden = input;
      for (std::uint32_t layer = 0; layer < aLayers; ++layer) {
        hidden = RunLayer(layer, position, hidden, accumulators[layer]);
      }
      ++position;
    }
    tokens.push_back(PickToken(hidden, position - 1, aSeed));
    if (tokens.back().m_end) {
      break;
    }
    inputs = { tokens.back().m_id };
  }
  return tokens;
}

std::string
Generate(std::string_view aPrompt,
         std::uint32_t aLayers,
         std::uint64_t aSeed,
         std::uint32_t aMaxTokens)
{
  std::string text;
  for (const Token& token :
       GenerateTokens(aPrompt, aLayers, aSeed, aMaxTokens)) {
    text += token.m_text;
  }
  return text;
}

} // namespace parsleycove::toy
