/**
 * Trees of mappings, sequences and scalars, and their YAML, JSON and MessagePack forms.
 *
 * <p>Every settings file, configuration, platform row and message passes through this one tree, so
 * that a type of the model is mapped once. Depends on nothing else of the project.
 */
package org.parsleycart.model.document;
