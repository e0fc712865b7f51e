package org.marigoldmill.server.state;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.schema.platform.InstanceState;
import org.marigoldmill.schema.platform.PlatformInstance;
import org.marigoldmill.server.platform.PlatformClient;

/** The platform's instance list; a failed read keeps the last list. */
public final class Instances {
  private final PlatformClient platform;
  private final UpstreamTable upstreams;
  private final Set<String> everListedNames = new HashSet<>();
  private volatile List<PlatformInstance> listed = List.of();
  private volatile boolean loaded;

  /** Creates an empty list that updates a table of upstreams. */
  public Instances(PlatformClient platform, UpstreamTable upstreams) {
    this.platform = platform;
    this.upstreams = upstreams;
  }

  /** Reads the list and replaces the table of upstreams. */
  public void readOnce() {
    List<PlatformInstance> current = platform.instances();
    synchronized (everListedNames) {
      current.forEach(i -> everListedNames.add(i.getName()));
    }
    listed = current;
    loaded = true;
    upstreams.replace(upstreams());
  }

  /** Returns whether the list has been read at least once. */
  public boolean isLoaded() {
    return loaded;
  }

  /** Returns all listed entry instances and upstreams. */
  public List<PlatformInstance> all() {
    return listed;
  }

  /** Returns the listed upstreams. */
  public List<PlatformInstance> upstreams() {
    return listed.stream().filter(i -> !i.getPool().isEmpty()).toList();
  }

  /** Returns the listed entry instances in state LIVE. */
  public List<PlatformInstance> liveEntryInstances() {
    return listed.stream()
        .filter(i -> i.getPool().isEmpty())
        .filter(i -> i.getState() == InstanceState.LIVE)
        .toList();
  }

  /** Returns the listed address of an instance, or the fallback if it is not listed. */
  public String addressOf(String name, String fallback) {
    return listed.stream()
        .filter(i -> i.getName().equals(name))
        .map(PlatformInstance::getAddress)
        .findFirst()
        .orElse(fallback);
  }

  /** Returns whether an instance has been listed since this process started. */
  public boolean everListed(String name) {
    synchronized (everListedNames) {
      return everListedNames.contains(name);
    }
  }
}
