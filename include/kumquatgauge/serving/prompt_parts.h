#ifndef KUMQUATGAUGE_SERVING_PROMPT_PARTS_H_
#define KUMQUATGAUGE_SERVING_PROMPT_PARTS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace kumquatgauge::serving {

// Hash of the id of a prompt part that several requests share.
using PromptPart = std::uint64_t;
// The shared parts of one prompt, in order.
using PromptParts = std::vector<PromptPart>;

// Hexadecimal text for logs; the parts of a list are separated by commas.
auto PartName(PromptPart part) -> std::string;
auto PartNames(const PromptParts& parts) -> std::string;

}  // namespace kumquatgauge::serving

#endif  // KUMQUATGAUGE_SERVING_PROMPT_PARTS_H_
