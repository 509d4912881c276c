#include "tests/fakes/answer_text.h"

#include <string_view>

namespace kingcupdrift::fakes {
namespace {

constexpr int kTokenLetters = 3;
constexpr std::uint64_t kAlphabetSize = 26;

}  // namespace

std::uint64_t AnswerSeed(const std::string& body) {
  return FastHash(body);
}

std::string AnswerToken(std::uint64_t seed, std::uint64_t offset) {
  const std::string_view bytes(reinterpret_cast<const char*>(&offset),
                               sizeof(offset));
  std::uint64_t rest = FastHash(bytes, seed);
  std::string token = " ";
  for (int i = 0; i < kTokenLetters; ++i) {
    token.push_back(static_cast<char>('a' + rest % kAlphabetSize));
    rest /= kAlphabetSize;
  }
  return token;
}

std::string AnswerText(std::uint64_t seed,
                       std::uint64_t begin,
                       std::uint64_t end) {
  std::string text;
  for (std::uint64_t i = begin; i < end; ++i) {
    text += AnswerToken(seed, i);
  }
  return text;
}

}  // namespace kingcupdrift::fakes
