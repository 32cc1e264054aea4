// Typed errors. Every message says what is wrong and how to correct it. A UserError can be corrected by the operator or
// the caller; an InternalFault is a violated invariant of this program.
#pragma once

#include <stdexcept>
#include <string>

namespace pomelowind::base {

enum class ErrorKind {
    Settings,
    InvalidInput,
    Conflict,
    NotFound,
    Denied,
    Unavailable,
    StorageDamaged,
    StorageFull,
    Protocol,
    Invariant,
};

// Returns the name of a kind as it appears in logs and API responses, for example "storage_damaged".
// Thread safety: pure.
const char* errorKindName(ErrorKind);

// Base class of all errors thrown by pomelowind. Thread safety: immutable after construction.
class Error : public std::runtime_error {
public:
    Error(ErrorKind kind, const std::string& problem, std::string remedy)
        : std::runtime_error(problem + "; remedy: " + remedy)
        , m_kind(kind)
        , m_remedy(std::move(remedy))
    {
    }

    ErrorKind kind() const { return m_kind; }
    const std::string& remedy() const { return m_remedy; }

private:
    ErrorKind m_kind;
    std::string m_remedy;
};

// An error that the operator or the caller can correct.
class UserError : public Error {
public:
    using Error::Error;
};

// A violated invariant. The process cannot continue safely.
class InternalFault : public Error {
public:
    explicit InternalFault(const std::string& problem)
        : Error(ErrorKind::Invariant, problem, "report this with the log lines before it and restart the process")
    {
    }
};

} // namespace pomelowind::base
