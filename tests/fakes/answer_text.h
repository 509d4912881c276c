#ifndef TESTS_FAKES_ANSWER_TEXT_H_
#define TESTS_FAKES_ANSWER_TEXT_H_

#include <cstdint>
#include <string>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift::fakes {

/// Digest of a request's body, from which its answer follows.
std::uint64_t AnswerSeed(const std::string& body);

/// Text of the token at `offset` of the answer with `seed`. A test can so tell
/// a whole answer from one with parts lost, doubled or taken from another
/// request, whatever engines wrote it.
std::string AnswerToken(std::uint64_t seed, std::uint64_t offset);

/// Text of the tokens in [begin, end).
std::string AnswerText(std::uint64_t seed,
                       std::uint64_t begin,
                       std::uint64_t end);

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_ANSWER_TEXT_H_
