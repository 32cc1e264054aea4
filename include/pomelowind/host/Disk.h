// The disk as the log store sees it. Tests replace it to tear writes, flip bits and fill up.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace pomelowind::host {

// A file that only grows.
class AppendFile {
public:
    virtual ~AppendFile() = default;
    // Appends bytes. They last only after sync(). Throws UserError(StorageFull) when there is no room.
    virtual void append(std::string_view bytes) = 0;
    // Returns once all appended bytes are durable. Throws UserError(StorageFull) or InternalFault.
    virtual void sync() = 0;
    // Cuts the file to its first `bytes`, after a failed append left a part behind. Throws like append().
    virtual void cut(size_t bytes) = 0;
};

// One data folder. Thread safety: confined to one thread.
class Disk {
public:
    virtual ~Disk() = default;
    virtual std::vector<std::string> list() = 0;
    // Whole content of a file. Precondition: the file exists.
    virtual std::string read(const std::string& name) = 0;
    virtual bool exists(const std::string& name) = 0;
    // Opens for appending, creating the file (durably) when absent.
    virtual std::unique_ptr<AppendFile> open(const std::string& name) = 0;
    // Replaces a file as a whole; after return the new content is durable, after a crash old or new is there.
    virtual void replace(const std::string& name, std::string_view content) = 0;
    virtual void truncate(const std::string& name, size_t bytes) = 0;
    virtual void remove(const std::string& name) = 0;
};

// The folder `path` of the platform's file system, created when absent and locked against a second process.
// Throws UserError(Settings) when it cannot be used.
std::unique_ptr<Disk> openFolder(const std::string& path);

} // namespace pomelowind::host
