#include "pomelowind/host/Disk.h"

#include "pomelowind/base/Errors.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/file.h>
#include <unistd.h>

namespace pomelowind::host {

namespace {

    namespace fs = std::filesystem;

    [[noreturn]] void throwWriteError(const std::string& failure)
    {
        std::string text = failure + ": " + std::strerror(errno);
        if (errno == ENOSPC || errno == EDQUOT)
            throw base::UserError(base::ErrorKind::StorageFull, text, "free space on the disk of the data folder");
        throw base::UserError(
            base::ErrorKind::StorageDamaged, text, "check the disk of the data folder, then restart this host");
    }

    void writeAll(int fd, std::string_view bytes, const std::string& name)
    {
        while (!bytes.empty()) {
            ssize_t n = ::write(fd, bytes.data(), bytes.size());
            if (n < 0 && errno == EINTR)
                continue;
            if (n < 0)
                throwWriteError("cannot write " + name);
            bytes.remove_prefix(static_cast<size_t>(n));
        }
    }

    class PosixAppendFile final : public AppendFile {
    public:
        PosixAppendFile(int fd, std::string name)
            : m_fd(fd)
            , m_name(std::move(name))
        {
        }
        ~PosixAppendFile() override { ::close(m_fd); }
        void append(std::string_view bytes) override { writeAll(m_fd, bytes, m_name); }
        void sync() override
        {
            if (::fdatasync(m_fd))
                throwWriteError("cannot sync " + m_name);
        }
        void truncate(size_t bytes) override
        {
            if (::ftruncate(m_fd, static_cast<off_t>(bytes)))
                throwWriteError("cannot truncate " + m_name);
        }

    private:
        int m_fd;
        std::string m_name;
    };

    class PosixDisk final : public Disk {
    public:
        explicit PosixDisk(std::string path)
            : m_path(std::move(path))
        {
            std::error_code ec;
            fs::create_directories(m_path, ec);
            m_folderFd = ::open(m_path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
            if (m_folderFd < 0)
                throw base::UserError(base::ErrorKind::Settings, "data folder " + m_path + " cannot be opened",
                    "set 'data_folder' to a folder that this user may write");
            if (::flock(m_folderFd, LOCK_EX | LOCK_NB))
                throw base::UserError(base::ErrorKind::Settings, "data folder " + m_path + " is in use",
                    "stop the other process or choose another 'data_folder'");
        }
        ~PosixDisk() override { ::close(m_folderFd); }

        std::vector<std::string> list() override
        {
            std::vector<std::string> out;
            for (const auto& it : fs::directory_iterator(m_path))
                out.push_back(it.path().filename().string());
            return out;
        }

        std::string read(const std::string& name) override
        {
            std::ifstream in(fullPath(name), std::ios::binary);
            std::ostringstream out;
            out << in.rdbuf();
            return out.str();
        }

        bool exists(const std::string& name) override { return fs::exists(fullPath(name)); }

        std::unique_ptr<AppendFile> open(const std::string& name) override
        {
            int fd = ::open(fullPath(name).c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
            if (fd < 0)
                throwWriteError("cannot open " + name);
            syncFolder();
            return std::make_unique<PosixAppendFile>(fd, name);
        }

        void replace(const std::string& name, std::string_view content) override
        {
            std::string temporaryPath = fullPath(name + ".next");
            int fd = ::open(temporaryPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
            if (fd < 0)
                throwWriteError("cannot create " + name);
            PosixAppendFile file(fd, name);
            file.append(content);
            file.sync();
            if (::rename(temporaryPath.c_str(), fullPath(name).c_str()))
                throwWriteError("cannot rename " + name);
            syncFolder();
        }

        void truncate(const std::string& name, size_t bytes) override
        {
            if (::truncate(fullPath(name).c_str(), static_cast<off_t>(bytes)))
                throwWriteError("cannot truncate " + name);
            PosixAppendFile file(::open(fullPath(name).c_str(), O_WRONLY | O_CLOEXEC), name);
            file.sync();
        }

        void remove(const std::string& name) override
        {
            std::error_code ec;
            fs::remove(fullPath(name), ec);
            syncFolder();
        }

    private:
        std::string fullPath(const std::string& name) const { return m_path + "/" + name; }
        void syncFolder()
        {
            if (::fsync(m_folderFd))
                throwWriteError("cannot sync folder " + m_path);
        }

        std::string m_path;
        int m_folderFd { -1 };
    };

}

std::unique_ptr<Disk> openDataFolder(const std::string& path) { return std::make_unique<PosixDisk>(path); }

} // namespace pomelowind::host
