#include "pomelowind/base/Errors.h"

namespace pomelowind::base {

const char* errorKindName(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::Settings:
        return "settings";
    case ErrorKind::InvalidInput:
        return "invalid_input";
    case ErrorKind::Conflict:
        return "conflict";
    case ErrorKind::NotFound:
        return "not_found";
    case ErrorKind::Denied:
        return "denied";
    case ErrorKind::Unavailable:
        return "unavailable";
    case ErrorKind::StorageDamaged:
        return "storage_damaged";
    case ErrorKind::StorageFull:
        return "storage_full";
    case ErrorKind::Protocol:
        return "protocol";
    case ErrorKind::Invariant:
        return "invariant";
    }
    return "unknown";
}

} // namespace pomelowind::base
