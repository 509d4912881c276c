#ifndef KINGCUPDRIFT_FORWARDING_WORK_KEY_H_
#define KINGCUPDRIFT_FORWARDING_WORK_KEY_H_

#include "kingcupdrift/base/base.h"
#include "kingcupdrift/interfaces/interfaces.h"

namespace kingcupdrift {

/// The key of the whole request: a digest of its method, host, path, workspace,
/// body and declared prompt. Requests that repeat it have the same key and
/// other identifiers.
WorkKey MakeRequestKey(const ForwardCall& call, const WorkspaceId& workspace);

/// The key of a shared part of prompts. Never equal to that of a request, since
/// identifiers of parts have no colon.
WorkKey MakePartKey(const PromptPartId& part);

/// True for keys of `MakeRequestKey`.
bool IsRequestKey(const WorkKey& key);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_FORWARDING_WORK_KEY_H_
