// The file system interface of the log store of the control plane. Tests substitute an implementation that simulates
// torn writes, flipped bits and a full disk.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace pomelowind::host {

// A file open for appending. Thread safety: confined to one thread.
class AppendFile {
public:
    virtual ~AppendFile() = default;
    // Appends `bytes`. They are durable only after sync(). Throws UserError(StorageFull) when the disk is full and
    // UserError(StorageDamaged) on other errors.
    virtual void append(std::string_view bytes) = 0;
    // Returns when all appended bytes are durable. Throws like append().
    virtual void sync() = 0;
    // Truncates the file to its first `bytes`, to remove the partial data of a failed append. Throws like append().
    virtual void truncate(size_t bytes) = 0;
};

// One data folder. Methods that write throw like AppendFile::append(). Thread safety: confined to one thread.
class Disk {
public:
    virtual ~Disk() = default;
    // Returns the names of all entries of the folder, in no particular order.
    virtual std::vector<std::string> list() = 0;
    // Returns the content of a file. Precondition: the file exists.
    virtual std::string read(const std::string& name) = 0;
    virtual bool exists(const std::string& name) = 0;
    // Opens a file for appending. Creates it, durably, when it does not exist.
    virtual std::unique_ptr<AppendFile> open(const std::string& name) = 0;
    // Replaces the content of a file atomically. The new content is durable on return; after a crash the file has
    // either the old or the new content.
    virtual void replace(const std::string& name, std::string_view content) = 0;
    // Truncates a file to its first `bytes`, durably.
    virtual void truncate(const std::string& name, size_t bytes) = 0;
    virtual void remove(const std::string& name) = 0;
};

// Opens the folder `path` of the local file system. Creates it when it does not exist and locks it against other
// processes.
// Throws UserError(Settings) when it cannot be used.
std::unique_ptr<Disk> openDataFolder(const std::string& path);

} // namespace pomelowind::host
