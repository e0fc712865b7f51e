package org.marigoldmill.server.state;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.schema.platform.InstanceState;
import org.marigoldmill.schema.platform.PlatformInstance;
import org.marigoldmill.server.platform.PlatformClient;

/** The platform's instance list as last read; a list that cannot be read stays in force. */
public final class Instances {
  private final PlatformClient platform;
  private final UpstreamTable upstreams;
  private final Set<String> seen = new HashSet<>();
  private volatile List<PlatformInstance> listed = List.of();
  private volatile boolean read;

  /** Creates an empty list that feeds a table of upstreams. */
  public Instances(PlatformClient platform, UpstreamTable upstreams) {
    this.platform = platform;
    this.upstreams = upstreams;
  }

  /** Reads the list once. */
  public void readOnce() {
    List<PlatformInstance> now = platform.instances();
    synchronized (seen) {
      now.forEach(i -> seen.add(i.getName()));
    }
    listed = now;
    read = true;
    upstreams.replace(upstreams());
  }

  /** Returns whether the list was ever read. */
  public boolean isLoaded() {
    return read;
  }

  /** Returns every listed instance. */
  public List<PlatformInstance> all() {
    return listed;
  }

  /** Returns the listed upstreams. */
  public List<PlatformInstance> upstreams() {
    return listed.stream().filter(i -> !i.getPool().isEmpty()).toList();
  }

  /** Returns the listed entry instances that are not leaving. */
  public List<PlatformInstance> liveEntryInstances() {
    return listed.stream()
        .filter(i -> i.getPool().isEmpty())
        .filter(i -> i.getState() == InstanceState.LIVE)
        .toList();
  }

  /** Returns the address of an instance; the list goes before what peers have told. */
  public String addressOf(String name, String told) {
    return listed.stream()
        .filter(i -> i.getName().equals(name))
        .map(PlatformInstance::getAddress)
        .findFirst()
        .orElse(told);
  }

  /** Returns whether an instance was ever listed. */
  public boolean everListed(String name) {
    synchronized (seen) {
      return seen.contains(name);
    }
  }
}
