package org.marigoldmill.server.lastbuild;

import com.google.protobuf.DescriptorProtos.FileDescriptorProto;
import com.google.protobuf.DescriptorProtos.FileDescriptorSet;
import com.google.protobuf.Descriptors.Descriptor;
import com.google.protobuf.Descriptors.DescriptorValidationException;
import com.google.protobuf.Descriptors.EnumDescriptor;
import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Descriptors.FileDescriptor;
import com.google.protobuf.Descriptors.MethodDescriptor;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.marigoldmill.schema.fleet.FleetRecord;
import org.marigoldmill.schema.peer.ExchangeMessage;
import org.marigoldmill.schema.platform.StoredRecord;
import org.marigoldmill.schema.settings.DeploymentSettings;
import org.marigoldmill.schema.submission.Submission;

/** Schemas of what instances say to each other, leave in the store and read at their start. */
final class Schema {
  private static final String FILE = "schema.txt";
  private static final int LINE_CHARS = 100;

  private Schema() {}

  /** Returns the files of this build, each after those that it imports. */
  static List<FileDescriptor> thisBuild() {
    Map<String, FileDescriptor> files = new LinkedHashMap<>();
    Stream.of(
            FleetRecord.getDescriptor(),
            ExchangeMessage.getDescriptor(),
            StoredRecord.getDescriptor(),
            DeploymentSettings.getDescriptor(),
            Submission.getDescriptor())
        .forEach(d -> addWithImports(d.getFile(), files));
    return List.copyOf(files.values());
  }

  /** Returns the files of the last landed build, each after those that it imports. */
  static List<FileDescriptor> lastBuild() {
    byte[] set = Base64.getDecoder().decode(String.join("", LastBuild.lines(FILE, snapshot())));
    Map<String, FileDescriptor> files = new LinkedHashMap<>();
    try {
      for (FileDescriptorProto file : FileDescriptorSet.parseFrom(set).getFileList()) {
        FileDescriptor[] imports =
            file.getDependencyList().stream().map(files::get).toArray(FileDescriptor[]::new);
        files.put(file.getName(), FileDescriptor.buildFrom(file, imports));
      }
    } catch (InvalidProtocolBufferException | DescriptorValidationException e) {
      throw new IllegalStateException("malformed snapshot of the schemas: " + e.getMessage(), e);
    }
    return List.copyOf(files.values());
  }

  /**
   * Returns what other builds rely on: one line for each field, enum value, method and reserved
   * number.
   */
  static List<String> promises(List<FileDescriptor> files) {
    return files.stream()
        .flatMap(
            f ->
                Stream.of(
                        f.getMessageTypes().stream().flatMap(Schema::ofMessage),
                        f.getEnumTypes().stream().flatMap(Schema::ofEnum),
                        f.getServices().stream()
                            .flatMap(s -> s.getMethods().stream())
                            .map(Schema::ofMethod))
                    .flatMap(s -> s))
        .toList();
  }

  private static Stream<String> ofMessage(Descriptor message) {
    Stream<String> reserved =
        message.toProto().getReservedRangeList().stream()
            .map(r -> message.getFullName() + " reserved " + r.getStart() + "-" + r.getEnd());
    return Stream.of(
            message.getFields().stream().map(Schema::ofField),
            message.getNestedTypes().stream().flatMap(Schema::ofMessage),
            message.getEnumTypes().stream().flatMap(Schema::ofEnum),
            reserved)
        .flatMap(s -> s);
  }

  private static String ofField(FieldDescriptor field) {
    String type =
        switch (field.getJavaType()) {
          case MESSAGE -> field.getMessageType().getFullName();
          case ENUM -> field.getEnumType().getFullName();
          default -> field.getType().name();
        };
    return String.join(
        " ",
        field.getFullName(),
        Integer.toString(field.getNumber()),
        type,
        field.isRepeated() ? "repeated" : "single",
        field.hasPresence() ? "presence" : "value",
        Optional.ofNullable(field.getContainingOneof()).map(o -> o.getName()).orElse(""));
  }

  private static Stream<String> ofEnum(EnumDescriptor type) {
    return type.getValues().stream().map(v -> v.getFullName() + " " + v.getNumber());
  }

  private static String ofMethod(MethodDescriptor method) {
    return String.join(
        " ",
        method.getFullName(),
        method.getInputType().getFullName(),
        method.getOutputType().getFullName());
  }

  private static void addWithImports(FileDescriptor file, Map<String, FileDescriptor> files) {
    file.getDependencies().forEach(d -> addWithImports(d, files));
    files.putIfAbsent(file.getName(), file);
  }

  /** Returns the files of this build in the form in which they are kept. */
  private static List<String> snapshot() {
    FileDescriptorSet.Builder set = FileDescriptorSet.newBuilder();
    thisBuild().forEach(f -> set.addFile(f.toProto()));
    String text = Base64.getEncoder().encodeToString(set.build().toByteArray());
    List<String> lines = new ArrayList<>();
    for (int i = 0; i < text.length(); i += LINE_CHARS) {
      lines.add(text.substring(i, Math.min(text.length(), i + LINE_CHARS)));
    }
    return lines;
  }
}
