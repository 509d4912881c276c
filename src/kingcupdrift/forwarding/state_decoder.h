#ifndef KINGCUPDRIFT_FORWARDING_STATE_DECODER_H_
#define KINGCUPDRIFT_FORWARDING_STATE_DECODER_H_

#include <string>

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/forwarding/serving_config.h"
#include "kingcupdrift/forwarding/target_directory.h"

namespace kingcupdrift {

enum class ItemKind {
  kConfig,
  kTarget,
  /// Present while operators evacuate a failure domain.
  kEvacuation,
  kOther,
};

/// Decodes the records of operators and targets in the platform's store.
class StateDecoder {
 public:
  virtual ~StateDecoder() = default;

  virtual ItemKind ClassifyKey(const std::string& key) const = 0;
  /// The target whose record has the key `key`, which is of kind kTarget.
  virtual EngineId ParseTargetId(const std::string& key) const = 0;
  /// The failure domain that the key `key`, which is of kind kEvacuation,
  /// evacuates. Empty if the key names none. The key's value has no meaning.
  virtual FailureDomain ParseEvacuatedDomain(const std::string& key) const = 0;
  /// kInvalidArgument if the value is not a valid configuration.
  virtual Result<ServingConfig> DecodeConfig(
      const std::string& value) const = 0;
  /// kInvalidArgument if the value is not a valid record of a target. Records
  /// of draining targets are valid.
  virtual Result<TargetRecord> DecodeTarget(const std::string& key,
                                            const std::string& value) const = 0;
};

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_STATE_DECODER_H_
