// Typed errors. Every message names what is wrong and what to do about it.
// UserError: the operator or caller can mend it. InternalFault: a broken invariant of this program.
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

// Name of a kind as it appears in logs and API answers, for example "storage_damaged".
const char* errorKindName(ErrorKind);

// Base of all errors thrown by pomelowind. Thread safety: immutable after construction.
class Error : public std::runtime_error {
public:
    Error(ErrorKind kind, const std::string& what, std::string remedy)
        : std::runtime_error(what + "; remedy: " + remedy)
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

// A mistake that the operator or caller can correct.
class UserError : public Error {
public:
    using Error::Error;
};

// A broken invariant; the process cannot go on safely.
class InternalFault : public Error {
public:
    explicit InternalFault(const std::string& what)
        : Error(ErrorKind::Invariant, what, "report this with the log lines before it and restart the process")
    {
    }
};

} // namespace pomelowind::base
