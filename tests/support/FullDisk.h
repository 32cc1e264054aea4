// In-memory disk that refuses writes while it is full. As on a real disk, an append may write some bytes before it
// fails, and a file may be created or replaced before the error is reported.
#pragma once

#include "pomelowind/base/Errors.h"
#include "pomelowind/base/Random.h"
#include "pomelowind/host/Disk.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pomelowind::tests {

class FullDisk final : public host::Disk {
public:
    explicit FullDisk(uint64_t seed)
        : m_random(seed)
    {
    }

    // Probability that an operation that writes is refused; 1: the disk is full.
    void setRefusal(double probability) { m_refusal = probability; }
    bool isFull() const { return m_refusal > 0; }

    std::vector<std::string> list() override
    {
        std::vector<std::string> out;
        for (const auto& [name, content] : files)
            out.push_back(name);
        return out;
    }
    std::string read(const std::string& name) override { return files.at(name); }
    bool exists(const std::string& name) override { return files.count(name) > 0; }
    std::unique_ptr<host::AppendFile> open(const std::string& name) override
    {
        refuse(m_random.bernoulli(0.5) ? [this, name] { files[name]; } : std::function<void()>());
        files[name];
        return std::make_unique<File>(*this, name);
    }
    void replace(const std::string& name, std::string_view content) override
    {
        // The folder may not be synced although the file has been replaced.
        refuse([&] { m_random.bernoulli(0.5) ? void(files[name] = content) : void(); });
        files[name] = content;
    }
    void truncate(const std::string& name, size_t bytes) override
    {
        refuse({});
        files[name].resize(bytes);
    }
    void remove(const std::string& name) override
    {
        refuse([&] { m_random.bernoulli(0.5) ? void(files.erase(name)) : void(); });
        files.erase(name);
    }

    std::map<std::string, std::string> files;

private:
    class File final : public host::AppendFile {
    public:
        File(FullDisk& disk, std::string name)
            : m_disk(disk)
            , m_name(std::move(name))
        {
        }
        void append(std::string_view bytes) override
        {
            m_disk.refuse(
                [&] { m_disk.files[m_name].append(bytes.substr(0, m_disk.m_random.uniformBelow(bytes.size() + 1))); });
            m_disk.files[m_name].append(bytes);
        }
        void sync() override { m_disk.refuse({}); }
        void truncate(size_t bytes) override
        {
            m_disk.refuse({});
            m_disk.files[m_name].resize(bytes);
        }

    private:
        FullDisk& m_disk;
        std::string m_name;
    };

    // Throws, after `partly` has been done, when the operation is refused.
    void refuse(const std::function<void()>& partly)
    {
        if (!m_random.bernoulli(m_refusal))
            return;
        if (partly)
            partly();
        throw base::UserError(base::ErrorKind::StorageFull, "the disk is full", "free space on it");
    }

    base::Random m_random;
    double m_refusal { 0 };
};

} // namespace pomelowind::tests
