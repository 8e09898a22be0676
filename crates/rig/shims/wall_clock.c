/* Puts a process's wall clock off by WALL_CLOCK_OFF_S seconds, and by WALL_CLOCK_STEP_S more in every other second; its monotonic
 * clock runs on. Loaded by LD_PRELOAD in tests. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <stdlib.h>
#include <time.h>

int clock_gettime(clockid_t clock, struct timespec *time) {
    static int (*real)(clockid_t, struct timespec *);
    if (!real)
        real = (int (*)(clockid_t, struct timespec *))dlsym(RTLD_NEXT, "clock_gettime");
    int result = real(clock, time);
    if (result != 0 || clock != CLOCK_REALTIME)
        return result;
    struct timespec monotonic;
    const char *off = getenv("WALL_CLOCK_OFF_S");
    const char *step = getenv("WALL_CLOCK_STEP_S");
    if (off)
        time->tv_sec += strtol(off, NULL, 10);
    if (step && real(CLOCK_MONOTONIC, &monotonic) == 0 && monotonic.tv_sec % 2 == 1)
        time->tv_sec += strtol(step, NULL, 10);
    return result;
}
