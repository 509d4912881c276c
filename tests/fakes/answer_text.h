#ifndef TESTS_FAKES_ANSWER_TEXT_H_
#define TESTS_FAKES_ANSWER_TEXT_H_

#include <cstdint>
#include <string>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift::fakes {

/// Computes the seed of the answer to a request from its body.
std::uint64_t AnswerSeed(const std::string& body);

/// Text of the token at `offset` of the answer with `seed`. It depends on these
/// two alone, so that a test finds parts of an answer that were lost, repeated
/// or taken from another request, also when several engines wrote it.
std::string AnswerToken(std::uint64_t seed, std::uint64_t offset);

/// Text of the tokens in [begin, end) of the answer with `seed`.
std::string AnswerText(std::uint64_t seed,
                       std::uint64_t begin,
                       std::uint64_t end);

}  // namespace kingcupdrift::fakes

#endif  // TESTS_FAKES_ANSWER_TEXT_H_
